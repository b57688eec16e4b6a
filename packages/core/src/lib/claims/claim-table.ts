/** Claims that one holder keeps, in bounded memory. */
import type { AttemptId, HttpResponse, IdempotencyKey, InstanceId, OrganisationId } from "../types.js";
import { keyTimeMs } from "./idempotency-key.js";
import type { RecordRequest, ReplicatedClaim, ResolveRequest } from "./messages.js";

/** A kept claim. */
export interface ClaimRecord {
    readonly organisation: OrganisationId;
    readonly key: IdempotencyKey;
    readonly timeMs: number;
    /** Rises with each insertion; position of pages. */
    readonly sequence: number;
    attempt: AttemptId | undefined;
    owner: InstanceId | undefined;
    fingerprint: string;
    seats: string;
    state: "recorded" | "complete" | "unknown" | "released";
    /** Whether this holder itself recorded the attempt first; a copy from another holder counts for no attempt. */
    isGranted: boolean;
    answer: HttpResponse | undefined;
    released: AttemptId[];
}

interface OrganisationClaims {
    readonly records: Map<IdempotencyKey, ClaimRecord>;
    /** Claims with key times up to this one may have been dropped for space. */
    evictedThroughMs: number;
}

/** Limits of a {@link ClaimTable}. */
export interface ClaimTableLimits {
    readonly maxClaims: number;
    readonly maxAnswerBytes: number;
}

/** A delayed record of a forgotten tombstone only blocks its key, so a few are enough. */
const maxTombstones = 8;
/** Part of an organisation's claims that is dropped at once when the table is full, to spread the cost of sorting. */
const dropPart = 16;

/** Bytes of an answer that count towards the limits. */
export const answerSizeBytes = (answer: HttpResponse | undefined): number =>
    answer === undefined
        ? 0
        : answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.byteLength);

/**
 * Records by organisation and key; the first writer of a key wins until it releases it.
 *
 * When the table is full, the organisation with the most claims loses its oldest ones, and its keys up to that time are
 * no longer vouched for. Answers are dropped before claims.
 */
export class ClaimTable {
    readonly #limits: ClaimTableLimits;
    readonly #organisations = new Map<OrganisationId, OrganisationClaims>();
    readonly #bySequence = new Map<number, ClaimRecord>();
    readonly #withAnswer = new Set<ClaimRecord>();
    #sequence = 0;
    #answerBytes = 0;
    #expiredThroughMs = -Infinity;
    #maxLostThroughMs = -Infinity;

    constructor(limits: ClaimTableLimits) {
        this.#limits = limits;
    }

    get size(): number {
        return this.#bySequence.size;
    }

    get answerBytes(): number {
        return this.#answerBytes;
    }

    /** Key time up to which claims of any organisation may have been dropped. */
    get evictedThroughMs(): number {
        return Math.max(this.#expiredThroughMs, this.#maxLostThroughMs);
    }

    /** Whether no claim of this key time has been dropped. */
    isRetained(organisation: OrganisationId, timeMs: number): boolean {
        return timeMs > Math.max(
            this.#expiredThroughMs,
            this.#organisations.get(organisation)?.evictedThroughMs ?? -Infinity,
        );
    }

    get(organisation: OrganisationId, key: IdempotencyKey): ClaimRecord | undefined {
        return this.#organisations.get(organisation)?.records.get(key);
    }

    /** Records an attempt on a key that has no live claim. */
    grant(request: RecordRequest, seats: string): void {
        const record = this.#open(request.organisation, request.key);
        Object.assign(record, {
            attempt: request.attempt,
            owner: request.owner,
            fingerprint: request.fingerprint,
            seats,
            state: "recorded",
            isGranted: true,
        });
        this.#bound();
    }

    /** Stores an outcome. A run is a fact, so it replaces whatever is there. */
    resolve(request: ResolveRequest, seats: string): void {
        const record = this.#open(request.organisation, request.key);
        if (record.state === "complete" || record.released.includes(request.attempt)) {
            return;
        }
        if (request.state === "unknown" && record.state !== "released" && record.attempt !== request.attempt) {
            return;
        }
        record.attempt = request.attempt;
        record.owner = request.owner;
        record.fingerprint = request.fingerprint;
        record.seats = seats;
        record.state = request.state;
        this.#setAnswer(record, request.answer);
        this.#bound();
    }

    /** Frees the key if the attempt holds it, and remembers the attempt, since its record may still be on the way. */
    release(organisation: OrganisationId, key: IdempotencyKey, attempt: AttemptId): void {
        const record = this.#open(organisation, key);
        if (record.state === "complete") {
            return;
        }
        if (!record.released.includes(attempt)) {
            record.released = [...record.released, attempt].slice(-maxTombstones);
        }
        if (record.attempt === attempt) {
            record.state = "released";
            record.attempt = undefined;
            record.isGranted = false;
        }
        this.#bound();
    }

    /** Takes over a claim from another holder. */
    merge(claim: ReplicatedClaim): void {
        const record = this.#open(claim.organisation, claim.key);
        if (record.state === "complete" || record.released.includes(claim.attempt)) {
            return;
        }
        if (claim.state === "complete") {
            this.resolve({ ...claim, state: "complete" }, claim.seats);
            return;
        }
        if (record.state === "released") {
            const { attempt, owner, fingerprint, seats, state } = claim;
            Object.assign(record, { attempt, owner, fingerprint, seats, state, isGranted: false });
        }
        else if (record.attempt === claim.attempt) {
            record.state = claim.state === "unknown" ? "unknown" : record.state;
        }
        else if (!record.isGranted) {
            // Two holders name different attempts and either may have run: no release may free the key.
            record.attempt = undefined;
            record.state = "unknown";
        }
        this.#bound();
    }

    /** Marks open claims whose owner satisfies the test; returns how many. */
    markUnknown(isGone: (owner: InstanceId) => boolean): number {
        let count = 0;
        for (const record of this.#bySequence.values()) {
            if (record.state === "recorded" && record.owner !== undefined && isGone(record.owner)) {
                record.state = "unknown";
                count++;
            }
        }
        return count;
    }

    /** Live claims after a position, as a bounded page. */
    page(
        after: number,
        wanted: (record: ClaimRecord) => boolean,
        maxClaims: number,
        maxBytes: number,
    ): { readonly claims: ReplicatedClaim[]; readonly next: number | undefined; } {
        const claims: ReplicatedClaim[] = [];
        let bytes = 0;
        for (const record of this.#bySequence.values()) {
            if (record.sequence <= after || record.state === "released" || !wanted(record)) {
                continue;
            }
            if (claims.length >= maxClaims || bytes >= maxBytes) {
                return { claims, next: record.sequence - 1 };
            }
            bytes += answerSizeBytes(record.answer);
            claims.push(keptClaim(record));
        }
        return { claims, next: undefined };
    }

    /** Forgets claims with key times up to the given one; none of them is vouched for again. */
    expire(throughMs: number): void {
        this.#expiredThroughMs = Math.max(this.#expiredThroughMs, throughMs);
        for (const record of this.#bySequence.values()) {
            if (record.timeMs <= throughMs) {
                this.#drop(record);
            }
        }
        for (const [organisation, claims] of this.#organisations) {
            if (claims.records.size === 0 && claims.evictedThroughMs <= throughMs) {
                this.#organisations.delete(organisation);
            }
        }
    }

    #open(organisation: OrganisationId, key: IdempotencyKey): ClaimRecord {
        let claims = this.#organisations.get(organisation);
        if (claims === undefined) {
            claims = { records: new Map(), evictedThroughMs: -Infinity };
            this.#organisations.set(organisation, claims);
        }
        let record = claims.records.get(key);
        if (record === undefined) {
            record = {
                organisation,
                key,
                timeMs: keyTimeMs(key) ?? 0,
                sequence: ++this.#sequence,
                attempt: undefined,
                owner: undefined,
                fingerprint: "",
                seats: "",
                state: "released",
                isGranted: false,
                answer: undefined,
                released: [],
            };
            claims.records.set(key, record);
            this.#bySequence.set(record.sequence, record);
        }
        return record;
    }

    #setAnswer(record: ClaimRecord, answer: HttpResponse | undefined): void {
        this.#answerBytes += answerSizeBytes(answer) - answerSizeBytes(record.answer);
        record.answer = answer;
        this.#withAnswer.delete(record);
        if (answer !== undefined) {
            this.#withAnswer.add(record);
        }
    }

    #bound(): void {
        for (const record of this.#withAnswer) {
            if (this.#answerBytes <= this.#limits.maxAnswerBytes) {
                break;
            }
            this.#setAnswer(record, undefined);
        }
        if (this.size <= this.#limits.maxClaims) {
            return;
        }
        const largest = [...this.#organisations.values()].reduce((left, right) =>
            right.records.size > left.records.size ? right : left
        );
        const byTime = [...largest.records.values()].sort((left, right) => left.timeMs - right.timeMs);
        for (const record of byTime.slice(0, Math.ceil(byTime.length / dropPart))) {
            largest.evictedThroughMs = Math.max(largest.evictedThroughMs, record.timeMs);
            this.#drop(record);
        }
        this.#maxLostThroughMs = Math.max(this.#maxLostThroughMs, largest.evictedThroughMs);
    }

    #drop(record: ClaimRecord): void {
        this.#setAnswer(record, undefined);
        this.#bySequence.delete(record.sequence);
        this.#organisations.get(record.organisation)?.records.delete(record.key);
    }
}

const keptClaim = (record: ClaimRecord): ReplicatedClaim => ({
    organisation: record.organisation,
    key: record.key,
    attempt: record.attempt ?? ("" as AttemptId),
    owner: record.owner ?? ("" as InstanceId),
    fingerprint: record.fingerprint,
    state: record.state === "released" ? "unknown" : record.state,
    answer: record.answer,
    seats: record.seats,
});
