/** Baseline: a key belongs to the instance that first claimed it. */
import * as z from "zod";
import type { InstanceContext } from "../../context.js";
import type { PeerMethod } from "../../ports.js";
import type { Claim, ClaimDecision, ClaimGate, RoutedRequest } from "../../stages.js";
import type { HttpResponse, IdempotencyKey, InstanceId } from "../../types.js";

interface Binding {
    readonly key: string;
    readonly owner: string;
}

const announceOwner: PeerMethod<Binding, void> = {
    name: "sticky-claims.announce",
    request: z.object({ key: z.string(), owner: z.string() }),
    reply: z.void(),
};
const askOwner: PeerMethod<string, ClaimDecision["kind"]> = {
    name: "sticky-claims.ask",
    request: z.string(),
    reply: z.custom<ClaimDecision["kind"]>(),
};

/** Announces the owner of a key to all instances; other instances ask the owner, or claim the key if it is gone. */
export class StickyClaimGate implements ClaimGate {
    readonly #context: InstanceContext;
    readonly #owners = new Map<string, string>();
    readonly #responses = new Map<string, HttpResponse | undefined>();

    constructor(context: InstanceContext) {
        this.#context = context;
        context.peers.handle(announceOwner, (_, { key, owner }) => {
            this.#owners.set(key, owner);
        });
        context.peers.handle(
            askOwner,
            (_, key) => this.#responses.get(key) === undefined ? "in-progress" : "ran-without-answer",
        );
    }

    async begin(request: RoutedRequest, key: IdempotencyKey): Promise<ClaimDecision> {
        const { membership, peers } = this.#context;
        const owner = this.#owners.get(key) as InstanceId | undefined;
        if (owner === membership.self) {
            const answer = this.#responses.get(key);
            return answer === undefined ? { kind: "in-progress" } : { kind: "repeat", answer };
        }
        if (owner !== undefined && !membership.isGone(owner)) {
            return peers.call(owner, askOwner, key, 300).then(
                kind => ({ kind }) as ClaimDecision,
                () => ({ kind: "unavailable", isCertainlyNotRun: request.isFirstAttempt }),
            );
        }
        this.#owners.set(key, membership.self);
        membership.liveInstances().filter(other => other.id !== membership.self)
            .forEach(other => peers.notify(other.id, announceOwner, { key, owner: membership.self }));
        return { kind: "run", claim: this.#claim(key) };
    }

    #claim(key: string): Claim {
        return {
            complete: async response => {
                this.#responses.set(key, response);
            },
            release: async () => {
                this.#owners.delete(key);
            },
            markUnknown: async () => {},
        };
    }
}
