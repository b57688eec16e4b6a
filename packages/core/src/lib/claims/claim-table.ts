/** Bounded in-memory store of the claims of one holder. */
import type { AttemptId, HttpResponse, IdempotencyKey, InstanceId, OrganisationId } from "../types.js";
import { keyTimeMs } from "./idempotency-key.js";
import type { RecordRequest, ReplicatedClaim, ResolveRequest } from "./messages.js";

/** A stored claim. */
export interface ClaimRecord {
    readonly organisation: OrganisationId;
    readonly key: IdempotencyKey;
    readonly timeMs: number;
    /** Increases with each insertion; used as the page position. */
    readonly sequence: number;
    attempt: AttemptId | undefined;
    owner: InstanceId | undefined;
    fingerprint: string;
    /** Ids of the holder seats when the claim was recorded, as in `seatSetKey`. */
    seats: string;
    state: "recorded" | "complete" | "unknown" | "released";
    /** Whether this holder recorded the attempt itself; a copy from another holder is no record of an attempt. */
    isGranted: boolean;
    answer: HttpResponse | undefined;
    /** Tombstones: released attempts, whose delayed records are refused. */
    released: AttemptId[];
}

interface OrganisationClaims {
    readonly records: Map<IdempotencyKey, ClaimRecord>;
    /** Key time up to which claims may have been evicted. */
    evictedThroughMs: number;
}

/** Limits of a {@link ClaimTable}. */
export interface ClaimTableLimits {
    readonly maxClaims: number;
    readonly maxResponseBytes: number;
}

/** Maximum number of tombstones of a claim. A few suffice: a delayed record without tombstone only blocks its key. */
const maxTombstones = 8;
/** A full table evicts one in this many of an organisation's claims at once, to amortise the cost of sorting. */
const evictionDivisor = 16;

/** Size of a response, as counted towards the limits. */
export const responseSizeBytes = (response: HttpResponse | undefined): number =>
    response === undefined
        ? 0
        : response.headers.reduce((sum, [name, value]) => sum + name.length + value.length, response.body.byteLength);

/**
 * Stores claims by organisation and key; the first writer of a key wins until it releases the key.
 *
 * A full table evicts the oldest claims of the organisation with the most claims; its records then no longer count as
 * complete for keys up to that time. Responses are evicted before claims.
 */
export class ClaimTable {
    readonly #limits: ClaimTableLimits;
    readonly #organisations = new Map<OrganisationId, OrganisationClaims>();
    readonly #bySequence = new Map<number, ClaimRecord>();
    readonly #recordsWithResponse = new Set<ClaimRecord>();
    #sequence = 0;
    #responseBytes = 0;
    #expiredThroughMs = -Infinity;
    #maxEvictedThroughMs = -Infinity;

    constructor(limits: ClaimTableLimits) {
        this.#limits = limits;
    }

    get size(): number {
        return this.#bySequence.size;
    }

    get responseBytes(): number {
        return this.#responseBytes;
    }

    /** Key time up to which claims of any organisation may have been evicted or expired. */
    get evictedThroughMs(): number {
        return Math.max(this.#expiredThroughMs, this.#maxEvictedThroughMs);
    }

    /** Whether no claim of this key time has been evicted or expired. */
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
        const record = this.#getOrCreate(request.organisation, request.key);
        Object.assign(record, {
            attempt: request.attempt,
            owner: request.owner,
            fingerprint: request.fingerprint,
            seats,
            state: "recorded",
            isGranted: true,
        });
        this.#enforceLimits();
    }

    /** Stores an outcome. A completed run is final, so it replaces any other state. */
    resolve(request: ResolveRequest, seats: string): void {
        const record = this.#getOrCreate(request.organisation, request.key);
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
        this.#setResponse(record, request.answer);
        this.#enforceLimits();
    }

    /** Frees the key if the attempt holds it, and leaves a tombstone, since its record may still be in transit. */
    release(organisation: OrganisationId, key: IdempotencyKey, attempt: AttemptId): void {
        const record = this.#getOrCreate(organisation, key);
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
        this.#enforceLimits();
    }

    /** Merges a claim copied from another holder. */
    merge(claim: ReplicatedClaim): void {
        const record = this.#getOrCreate(claim.organisation, claim.key);
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
            // Two holders name different attempts, and either may have run: no release may free the key.
            record.attempt = undefined;
            record.state = "unknown";
        }
        this.#enforceLimits();
    }

    /** Marks the unresolved claims of all owners that are gone; returns their number. */
    markUnknown(isOwnerGone: (owner: InstanceId) => boolean): number {
        let count = 0;
        for (const record of this.#bySequence.values()) {
            if (record.state === "recorded" && record.owner !== undefined && isOwnerGone(record.owner)) {
                record.state = "unknown";
                count++;
            }
        }
        return count;
    }

    /** Returns a bounded page of the live claims after a position. */
    page(
        after: number,
        filter: (record: ClaimRecord) => boolean,
        maxClaims: number,
        maxBytes: number,
    ): { readonly claims: ReplicatedClaim[]; readonly next: number | undefined; } {
        const claims: ReplicatedClaim[] = [];
        let bytes = 0;
        for (const record of this.#bySequence.values()) {
            if (record.sequence <= after || record.state === "released" || !filter(record)) {
                continue;
            }
            if (claims.length >= maxClaims || bytes >= maxBytes) {
                return { claims, next: record.sequence - 1 };
            }
            bytes += responseSizeBytes(record.answer);
            claims.push(toReplicatedClaim(record));
        }
        return { claims, next: undefined };
    }

    /** Removes claims with key times up to the given one; no records count as complete for these keys again. */
    expire(throughMs: number): void {
        this.#expiredThroughMs = Math.max(this.#expiredThroughMs, throughMs);
        for (const record of this.#bySequence.values()) {
            if (record.timeMs <= throughMs) {
                this.#remove(record);
            }
        }
        for (const [organisation, claims] of this.#organisations) {
            if (claims.records.size === 0 && claims.evictedThroughMs <= throughMs) {
                this.#organisations.delete(organisation);
            }
        }
    }

    #getOrCreate(organisation: OrganisationId, key: IdempotencyKey): ClaimRecord {
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

    #setResponse(record: ClaimRecord, response: HttpResponse | undefined): void {
        this.#responseBytes += responseSizeBytes(response) - responseSizeBytes(record.answer);
        record.answer = response;
        this.#recordsWithResponse.delete(record);
        if (response !== undefined) {
            this.#recordsWithResponse.add(record);
        }
    }

    #enforceLimits(): void {
        for (const record of this.#recordsWithResponse) {
            if (this.#responseBytes <= this.#limits.maxResponseBytes) {
                break;
            }
            this.#setResponse(record, undefined);
        }
        if (this.size <= this.#limits.maxClaims) {
            return;
        }
        const largest = [...this.#organisations.values()].reduce((left, right) =>
            right.records.size > left.records.size ? right : left
        );
        const byTime = [...largest.records.values()].sort((left, right) => left.timeMs - right.timeMs);
        for (const record of byTime.slice(0, Math.ceil(byTime.length / evictionDivisor))) {
            largest.evictedThroughMs = Math.max(largest.evictedThroughMs, record.timeMs);
            this.#remove(record);
        }
        this.#maxEvictedThroughMs = Math.max(this.#maxEvictedThroughMs, largest.evictedThroughMs);
    }

    #remove(record: ClaimRecord): void {
        this.#setResponse(record, undefined);
        this.#bySequence.delete(record.sequence);
        this.#organisations.get(record.organisation)?.records.delete(record.key);
    }
}

const toReplicatedClaim = (record: ClaimRecord): ReplicatedClaim => ({
    organisation: record.organisation,
    key: record.key,
    attempt: record.attempt ?? ("" as AttemptId),
    owner: record.owner ?? ("" as InstanceId),
    fingerprint: record.fingerprint,
    state: record.state === "released" ? "unknown" : record.state,
    answer: record.answer,
    seats: record.seats,
});
