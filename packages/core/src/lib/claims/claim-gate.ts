/** Claim gate of the entry instance: decides whether a non-idempotent request may run. */
import type { InstanceContext } from "../context.js";
import type { Seat } from "../membership.js";
import type { PeerMethod } from "../ports.js";
import type { Claim, ClaimDecision, ClaimGate, RoutedRequest } from "../stages.js";
import type { HttpResponse, IdempotencyKey, InstanceId } from "../types.js";
import type { ClaimHolder } from "./claim-holder.js";
import { responseSizeBytes } from "./claim-table.js";
import { holderSeats } from "./holder-seats.js";
import { invalidKeyRemedy } from "./idempotency-key.js";
import type { DoneReply, RecordReply, RecordRequest, ReleaseRequest, ResolveRequest } from "./messages.js";
import { claimRecord, claimRelease, claimResolve } from "./messages.js";
import type { ClaimOptions } from "./options.js";

/** 128 bits of the SHA-256 hash. */
const fingerprintHexDigits = 32;
/** Timeout of the first attempt to send an outcome to a holder. It doubles with each attempt. */
const resolveTimeoutMs = 500;

type ExistingReply = Extract<RecordReply, { kind: "exists"; }>;

/**
 * Records each claim at the holders of its key and lets the request run once a quorum has stored it. Each call of
 * `begin` needs a unique attempt id.
 *
 * `isCertainlyNotRun` is true only for an attempt that the caller declares to be the first. Otherwise a claim may have
 * been recorded by an earlier attempt at the holders that did not reply.
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
            .slice(0, fingerprintHexDigits);
        const recordRequest: RecordRequest = {
            organisation: request.organisation,
            key: idempotencyKey,
            attempt: request.attempt,
            owner: membership.self,
            fingerprint,
            ...(request.isFirstAttempt ? { isFirst: true } : {}),
            view: seats.map(seat => ({ seat: seat.id, epoch: seat.epoch })),
        };
        const replies = await this.#recordAtHolders(recordRequest, seats, request.deadlineMs);
        const decision = this.#decide(request, recordRequest, seats, replies);
        if (decision.kind !== "run") {
            // Not awaited: the caller's response does not depend on it, and a lost release only blocks this key.
            void this.#sendOutcome(recordRequest, seats, claimRelease, toReleaseRequest(recordRequest));
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

    /**
     * Collects replies until a quorum has recorded the claim, one holder reports it as complete, all holders have
     * replied, or the time limit is reached.
     */
    #recordAtHolders(
        recordRequest: RecordRequest,
        seats: readonly Seat[],
        deadlineMs: number,
    ): Promise<readonly RecordReply[]> {
        const { clock } = this.#context;
        const occupiedSeats = seats.filter(seat => seat.holder !== undefined);
        const timeoutMs = Math.min(this.#options.recordTimeoutMs, deadlineMs - clock.monotonicMs());
        if (occupiedSeats.length === 0 || timeoutMs <= 0) {
            return Promise.resolve([]);
        }
        const needed = this.#options.neededRecords(seats.length);
        return new Promise(resolve => {
            const replies: RecordReply[] = [];
            let pending = occupiedSeats.length;
            const finish = () => {
                timer.cancel();
                // Copied, so that a late reply cannot change the decision.
                resolve([...replies]);
            };
            const timer = clock.after(timeoutMs, finish);
            for (const seat of occupiedSeats) {
                this.#call(seat.holder!, claimRecord, recordRequest, timeoutMs).then(
                    reply => {
                        replies.push(reply);
                    },
                    () => {},
                ).then(() => {
                    pending--;
                    const isComplete = replies.some(reply => reply.kind === "exists" && reply.state === "complete");
                    if (pending === 0 || isComplete || recordedCount(replies) >= needed) {
                        finish();
                    }
                });
            }
        });
    }

    /** Decides from the replies of the holders. Only a quorum of records lets the request run. */
    #decide(
        request: RoutedRequest,
        recordRequest: RecordRequest,
        seats: readonly Seat[],
        replies: readonly RecordReply[],
    ): ClaimDecision {
        const needed = this.#options.neededRecords(seats.length);
        const existing = replies.filter((reply): reply is ExistingReply => reply.kind === "exists");
        const complete = existing.filter(reply => reply.state === "complete");
        if (complete.length === 0 && recordedCount(replies) >= needed) {
            return { kind: "run", claim: this.#createClaim(recordRequest, seats) };
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
            // This attempt is released, and the caller declares that there was no earlier one.
            return { kind: "unavailable", isCertainlyNotRun: true };
        }
        // An `unvouched` holder may lack an earlier claim. If the remaining holders are fewer than a quorum, an earlier
        // attempt may have run.
        const unvouchedCount = replies.filter(reply => reply.kind === "unvouched").length;
        return seats.length - unvouchedCount < needed
            ? { kind: "unknown" }
            : { kind: "unavailable", isCertainlyNotRun: false };
    }

    #createClaim(recordRequest: RecordRequest, seats: readonly Seat[]): Claim {
        const { organisation, key, attempt, owner, fingerprint } = recordRequest;
        const resolve = (state: ResolveRequest["state"], answer?: HttpResponse) =>
            this.#sendOutcome(recordRequest, seats, claimResolve, {
                organisation,
                key,
                attempt,
                owner,
                fingerprint,
                state,
                answer,
            });
        return {
            complete: response =>
                resolve(
                    "complete",
                    responseSizeBytes(response) <= this.#options.responseLimitBytes ? response : undefined,
                ),
            release: () => this.#sendOutcome(recordRequest, seats, claimRelease, toReleaseRequest(recordRequest)),
            markUnknown: () => resolve("unknown"),
        };
    }

    /**
     * Sends an outcome to the holders at the time of the claim and to the current ones. Waits a short time for a quorum
     * of acknowledgements; lost messages are retried in the background.
     */
    #sendOutcome<Request>(
        recordRequest: RecordRequest,
        seats: readonly Seat[],
        method: PeerMethod<Request, DoneReply>,
        message: Request,
    ): Promise<void> {
        const { clock, membership } = this.#context;
        const current = holderSeats(membership.roster(), recordRequest.organisation, recordRequest.key);
        const holders = new Set([...seats, ...current].flatMap(seat => seat.holder ?? []));
        const needed = Math.min(holders.size, this.#options.neededRecords(seats.length));
        return new Promise(resolve => {
            const timer = clock.after(this.#options.resolveWaitMs, resolve);
            let acknowledged = 0;
            for (const holder of holders) {
                this.#sendWithRetries(holder, method, message).then(isDone => {
                    acknowledged += isDone ? 1 : 0;
                    if (acknowledged >= needed) {
                        timer.cancel();
                        resolve();
                    }
                });
            }
        });
    }

    async #sendWithRetries<Request>(
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

    /** Calls a holder; a call to this instance itself bypasses the network. */
    async #call<Request, Reply>(
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        timeoutMs: number,
    ): Promise<Reply> {
        const localHandler = to === this.#context.membership.self ? this.#holder.handlerOf(method) : undefined;
        return localHandler === undefined ? this.#context.peers.call(to, method, body, timeoutMs) : localHandler(body);
    }
}

const recordedCount = (replies: readonly RecordReply[]): number =>
    replies.filter(reply => reply.kind === "recorded").length;

const toReleaseRequest = ({ organisation, key, attempt }: RecordRequest): ReleaseRequest => ({
    organisation,
    key,
    attempt,
});
