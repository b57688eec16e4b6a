/** Settings of cluster membership. */

/** Membership settings. All instances of a fleet must use the same values. */
export interface MembershipSettings {
    /** Number of seats of a roster that this instance creates. */
    readonly seats: number;
    readonly heartbeatMs: number;
    /** How long a grant or an exclusion is valid at the instance that received it. */
    readonly leaseMs: number;
    /** Maximum relative drift between two monotonic clocks. */
    readonly maxDriftRatio: number;
    /**
     * An instance is current only if, within this time, it or a peer reached the platform, or it had two-way contact
     * with the holders of a majority of the seats.
     */
    readonly currentWindowMs: number;
    /** Number of instances that regularly read roster, configuration and instance list from the platform. */
    readonly pollerCount: number;
    readonly pollIntervalMs: number;
    /** Interval after which other instances become pollers. */
    readonly pollerRotationMs: number;
    readonly listIntervalMs: number;
    /** Maximum random delay before an instance without a seat first tries to take one. */
    readonly joinJitterMs: number;
    /** Minimum time between two roster changes by one instance. */
    readonly minChangeIntervalMs: number;
    /**
     * Delay before the seat of an excluded holder is vacated, so that a holder that pauses briefly loses its
     * coordinator terms but keeps the seat.
     */
    readonly vacateAfterMs: number;
    /** A holder that has sent nothing for this long and is absent from the instance list is considered dead. */
    readonly deadAfterMs: number;
    /** Timeout of a call to a peer. */
    readonly callTimeoutMs: number;
    /** Time allowed for the handover hooks of a leaving instance, which run concurrently. */
    readonly handoverTimeoutMs: number;
}

/** Default settings; see "Membership, leases and currency" in `docs/design.md`. */
export const defaultMembershipSettings: MembershipSettings = {
    seats: 44,
    heartbeatMs: 400,
    leaseMs: 2_000,
    maxDriftRatio: 0.01,
    currentWindowMs: 3_000,
    pollerCount: 3,
    pollIntervalMs: 1_000,
    pollerRotationMs: 30_000,
    listIntervalMs: 5_000,
    joinJitterMs: 2_000,
    minChangeIntervalMs: 500,
    vacateAfterMs: 3_000,
    deadAfterMs: 30_000,
    callTimeoutMs: 500,
    handoverTimeoutMs: 5_000,
};

/** Lease duration from the viewpoint of the grantor, which adds the allowance for clock drift. */
export const leaseWithDriftMs = (settings: MembershipSettings): number =>
    settings.leaseMs * (1 + settings.maxDriftRatio);

/** Majority of the seats; any two majorities share a seat. */
export const quorumOf = (seats: number): number => Math.floor(seats / 2) + 1;
