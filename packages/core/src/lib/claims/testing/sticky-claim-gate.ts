/** Baseline: a key is bound to the instance that first took it. */
import * as z from "zod";
import type { InstanceContext } from "../../context.js";
import type { PeerMethod } from "../../ports.js";
import type { Claim, ClaimDecision, ClaimGate, RoutedRequest } from "../../stages.js";
import type { HttpResponse, IdempotencyKey, InstanceId } from "../../types.js";

interface Binding {
    readonly key: string;
    readonly owner: string;
}

const bind: PeerMethod<Binding, void> = {
    name: "bound.bind",
    request: z.object({ key: z.string(), owner: z.string() }),
    reply: z.void(),
};
const ask: PeerMethod<string, ClaimDecision["kind"]> = {
    name: "bound.ask",
    request: z.string(),
    reply: z.custom<ClaimDecision["kind"]>(),
};

/** Tells all instances who took a key; repeats elsewhere ask the owner, and take the key over once it is gone. */
export class StickyClaimGate implements ClaimGate {
    readonly #context: InstanceContext;
    readonly #owners = new Map<string, string>();
    readonly #answers = new Map<string, HttpResponse | undefined>();

    constructor(context: InstanceContext) {
        this.#context = context;
        context.peers.handle(bind, (_, { key, owner }) => {
            this.#owners.set(key, owner);
        });
        context.peers.handle(
            ask,
            (_, key) => this.#answers.get(key) === undefined ? "in-progress" : "ran-without-answer",
        );
    }

    async begin(request: RoutedRequest, key: IdempotencyKey): Promise<ClaimDecision> {
        const { membership, peers } = this.#context;
        const owner = this.#owners.get(key) as InstanceId | undefined;
        if (owner === membership.self) {
            const answer = this.#answers.get(key);
            return answer === undefined ? { kind: "in-progress" } : { kind: "repeat", answer };
        }
        if (owner !== undefined && !membership.isGone(owner)) {
            return peers.call(owner, ask, key, 300).then(
                kind => ({ kind }) as ClaimDecision,
                () => ({ kind: "unavailable", isCertainlyNotRun: request.isFirstAttempt }),
            );
        }
        this.#owners.set(key, membership.self);
        membership.liveInstances().filter(other => other.id !== membership.self)
            .forEach(other => peers.notify(other.id, bind, { key, owner: membership.self }));
        return { kind: "run", claim: this.#claim(key) };
    }

    #claim(key: string): Claim {
        return {
            complete: async answer => {
                this.#answers.set(key, answer);
            },
            release: async () => {
                this.#owners.delete(key);
            },
            markUnknown: async () => {},
        };
    }
}
