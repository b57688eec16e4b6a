/** The entry side of claims: decides whether a non-idempotent request may run. */
import type { InstanceContext } from "../context.js";
import type { Seat } from "../membership.js";
import type { PeerMethod } from "../ports.js";
import type { Claim, ClaimDecision, ClaimGate, RoutedRequest } from "../stages.js";
import type { HttpResponse, IdempotencyKey, InstanceId } from "../types.js";
import type { ClaimHolder } from "./claim-holder.js";
import { answerSizeBytes } from "./claim-table.js";
import { holderSeats } from "./holder-seats.js";
import { invalidKeyRemedy } from "./idempotency-key.js";
import type { DoneReply, RecordReply, RecordRequest, ReleaseRequest, ResolveRequest } from "./messages.js";
import { claimRecord, claimRelease, claimResolve } from "./messages.js";
import type { ClaimOptions } from "./options.js";

/** Hex digits of the request fingerprint: 128 bits. */
const fingerprintDigits = 32;
const resolveTimeoutMs = 500;

type Existing = Extract<RecordReply, { kind: "exists"; }>;

/**
 * Records each claim at the holders of its key and lets the request run once enough of them have it. Each call of
 * `begin` needs an attempt id of its own.
 *
 * "Not run" is certain only for an attempt that its caller declares to be the first one: a single holder, or none,
 * cannot show that no earlier attempt was recorded at the two others.
 *
 * @example
 * const decision = await gate.begin(request, key);
 * if (decision.kind === "run") {
 *     await decision.claim.complete(await dispatch(request));
 * }
 */
export class QuorumClaimGate implements ClaimGate {
    readonly #context: InstanceContext;
    readonly #options: ClaimOptions;
    readonly #holder: ClaimHolder;

    constructor(context: InstanceContext, options: ClaimOptions, holder: ClaimHolder) {
        this.#context = context;
        this.#options = options;
        this.#holder = holder;
    }

    async begin(request: RoutedRequest, idempotencyKey: IdempotencyKey): Promise<ClaimDecision> {
        const { clock, membership, sha256, log, metrics } = this.#context;
        const remedy = invalidKeyRemedy(idempotencyKey, clock.now().getTime(), this.#options);
        if (remedy !== undefined) {
            return { kind: "invalid-key", remedy };
        }
        const seats = holderSeats(membership.roster(), request.organisation, idempotencyKey);
        const fingerprint = sha256(`${request.method}\n${request.target}\n${request.route.id}\n${request.bodyHash}`)
            .slice(0, fingerprintDigits);
        const body: RecordRequest = {
            organisation: request.organisation,
            key: idempotencyKey,
            attempt: request.attempt,
            owner: membership.self,
            fingerprint,
            ...(request.isFirstAttempt ? { isFirst: true } : {}),
            view: seats.map(seat => ({ seat: seat.id, epoch: seat.epoch })),
        };
        const replies = await this.#recordAtHolders(body, seats, request.deadlineMs);
        const decision = this.#decide(request, body, seats, replies);
        if (decision.kind !== "run") {
            // Not awaited: the caller's answer does not depend on it, and a lost release only blocks this key.
            void this.#tell(body, seats, claimRelease, releaseOf(body));
        }
        metrics.increment("sniperoad.claims.decision", { kind: decision.kind });
        log.event("claim-decided", {
            request: request.id,
            organisation: request.organisation,
            key: idempotencyKey,
            attempt: request.attempt,
            kind: decision.kind,
            replies: replies.map(reply => reply.kind === "refused" ? reply.reason : reply.kind).join(","),
        });
        return decision;
    }

    /** Replies until they suffice to run or to repeat an answer, until all have come, or until time is up. */
    #recordAtHolders(body: RecordRequest, seats: readonly Seat[], deadlineMs: number): Promise<readonly RecordReply[]> {
        const { clock } = this.#context;
        const held = seats.filter(seat => seat.holder !== undefined);
        const leftMs = Math.min(this.#options.recordTimeoutMs, deadlineMs - clock.monotonicMs());
        if (held.length === 0 || leftMs <= 0) {
            return Promise.resolve([]);
        }
        const needed = this.#options.neededRecords(seats.length);
        return new Promise(resolve => {
            const replies: RecordReply[] = [];
            let open = held.length;
            const finish = () => {
                timer.cancel();
                // A copy: a reply that comes later changes no decision.
                resolve([...replies]);
            };
            const timer = clock.after(leftMs, finish);
            for (const seat of held) {
                this.#call(seat.holder!, claimRecord, body, leftMs).then(
                    reply => {
                        replies.push(reply);
                    },
                    () => {},
                ).then(() => {
                    open--;
                    const isComplete = replies.some(reply => reply.kind === "exists" && reply.state === "complete");
                    if (open === 0 || isComplete || recordedCount(replies) >= needed) {
                        finish();
                    }
                });
            }
        });
    }

    #decide(
        request: RoutedRequest,
        body: RecordRequest,
        seats: readonly Seat[],
        replies: readonly RecordReply[],
    ): ClaimDecision {
        const needed = this.#options.neededRecords(seats.length);
        const existing = replies.filter((reply): reply is Existing => reply.kind === "exists");
        const complete = existing.filter(reply => reply.state === "complete");
        if (complete.length === 0 && recordedCount(replies) >= needed) {
            return { kind: "run", claim: this.#claim(body, seats) };
        }
        if (existing.some(reply => !reply.isSameRequest)) {
            return { kind: "key-conflict" };
        }
        if (complete.length > 0) {
            const answer = complete.find(reply => reply.answer !== undefined)?.answer;
            return answer === undefined ? { kind: "ran-without-answer" } : { kind: "repeat", answer };
        }
        if (existing.some(reply => reply.state === "unknown")) {
            return { kind: "unknown" };
        }
        if (existing.length > 0) {
            return { kind: "in-progress" };
        }
        if (request.isFirstAttempt) {
            // This attempt is given up, and the caller declares that there was no other one.
            return { kind: "unavailable", isCertainlyNotRun: true };
        }
        const unvouched = replies.filter(reply => reply.kind === "unvouched").length;
        return seats.length - unvouched < needed
            ? { kind: "unknown" }
            : { kind: "unavailable", isCertainlyNotRun: false };
    }

    #claim(body: RecordRequest, seats: readonly Seat[]): Claim {
        const { organisation, key, attempt, owner, fingerprint } = body;
        const resolve = (state: ResolveRequest["state"], answer?: HttpResponse) =>
            this.#tell(body, seats, claimResolve, { organisation, key, attempt, owner, fingerprint, state, answer });
        return {
            complete: answer =>
                resolve("complete", answerSizeBytes(answer) <= this.#options.answerLimitBytes ? answer : undefined),
            release: () => this.#tell(body, seats, claimRelease, releaseOf(body)),
            markUnknown: () => resolve("unknown"),
        };
    }

    /**
     * Sends an outcome to the holders at the time of the claim and to the present ones. Waits for enough of them, but
     * only a short time; lost messages are sent again in the background.
     */
    #tell<Request>(
        body: RecordRequest,
        seats: readonly Seat[],
        method: PeerMethod<Request, DoneReply>,
        message: Request,
    ): Promise<void> {
        const { clock, membership } = this.#context;
        const present = holderSeats(membership.roster(), body.organisation, body.key);
        const holders = new Set([...seats, ...present].flatMap(seat => seat.holder ?? []));
        const needed = Math.min(holders.size, this.#options.neededRecords(seats.length));
        return new Promise(resolve => {
            const timer = clock.after(this.#options.resolveWaitMs, resolve);
            let done = 0;
            for (const holder of holders) {
                this.#sendUntilDone(holder, method, message).then(isDone => {
                    done += isDone ? 1 : 0;
                    if (done >= needed) {
                        timer.cancel();
                        resolve();
                    }
                });
            }
        });
    }

    async #sendUntilDone<Request>(
        holder: InstanceId,
        method: PeerMethod<Request, DoneReply>,
        message: Request,
    ): Promise<boolean> {
        for (let attempt = 0; attempt < this.#options.resolveAttempts; attempt++) {
            const isDone = await this.#call(holder, method, message, resolveTimeoutMs * 2 ** attempt)
                .then(reply => reply.isDone, () => false);
            if (isDone) {
                return true;
            }
        }
        return false;
    }

    /** Messages to this instance itself need no network. */
    async #call<Request, Reply>(
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        timeoutMs: number,
    ): Promise<Reply> {
        const own = to === this.#context.membership.self ? this.#holder.handlerOf(method) : undefined;
        return own === undefined ? this.#context.peers.call(to, method, body, timeoutMs) : own(body);
    }
}

const recordedCount = (replies: readonly RecordReply[]): number =>
    replies.filter(reply => reply.kind === "recorded").length;

const releaseOf = ({ organisation, key, attempt }: RecordRequest): ReleaseRequest => ({ organisation, key, attempt });
