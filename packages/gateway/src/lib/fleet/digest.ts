/** Digests: what an aggregator has received from the instances of its zone, summed up for all instances. */
import type { GatewayInstance } from "../model.js";
import type { OutcomeKind, ReaderState } from "./heartbeat.js";

/** An instance from which the aggregator has received a heartbeat recently. */
export interface DigestMember {
    /** See `instanceKey`. */
    readonly key: number;
    /** Low byte of the sequence number of the latest heartbeat that is counted in the digest. */
    readonly acknowledged: number;
    /** Time since that heartbeat, in steps of {@link memberAgeStepMs}. */
    readonly ageMs: number;
    readonly isReady: boolean;
    readonly isLeaving: boolean;
}

/** The aggregator's copy of a collection of the store. */
export interface DigestCollection {
    readonly revision: number;
    readonly confirmedAgeMs: number | undefined;
    /** Keys of some instances of the zone that hold this revision; any of them can be asked for it. */
    readonly holders: readonly number[];
    /** Instances of the zone that read the collection from the store. */
    readonly readers: readonly DigestReader[];
}

/** An instance that reads a collection from the store. */
export interface DigestReader {
    /** See `instanceKey`. */
    readonly key: number;
    readonly state: ReaderState;
}

/** Requests of an organisation in a zone, in the windows of `OrganisationUsage`. */
export interface DigestUsage {
    /** See `nameKey`. */
    readonly key: number;
    readonly admitted: number;
    readonly offered: number;
}

/** Requests at an upstream. */
export interface DigestCount {
    /** See `nameKey`. */
    readonly key: number;
    readonly count: number;
}

/**
 * State of one zone according to one of its aggregators. All fields are the present state, so a lost digest is made up
 * for by the next, and a repeated one changes nothing.
 */
export interface ZoneDigest {
    readonly aggregator: GatewayInstance;
    /** Increases by one with each digest of the aggregator. */
    readonly sequence: number;
    /** For how long the aggregator has received the zone's heartbeats; counts of a longer window are incomplete. */
    readonly coverageMs: number;
    readonly members: readonly DigestMember[];
    readonly config: DigestCollection;
    readonly upstreams: DigestCollection;
    /** Undefined where zones are not evacuated. */
    readonly evacuations?: DigestCollection | undefined;
    /** Undefined in the digest of a standby, since the other aggregator of the zone reports the same requests. */
    readonly usage: readonly DigestUsage[] | undefined;
}

/**
 * Requests at the upstreams. They are a message of their own, since the own zone receives them more often than a digest:
 * requests end within a fraction of the interval between digests. Other zones receive them with each digest.
 */
export interface ZoneLoads {
    /** Key of the aggregator, see `instanceKey`. */
    readonly aggregatorKey: number;
    /** Sequence number of the digest whose members `acknowledged` refers to. */
    readonly digestSequence: number;
    /** Increases with each message of the aggregator. */
    readonly sequence: number;
    /** See `DigestMember`; in the order of the members of the digest. */
    readonly acknowledged: Uint8Array;
    /** Requests in flight from the members of the zone. */
    readonly inFlight: readonly DigestCount[];
    /** Ordinary successes that were reported to this aggregator since its previous loads for the same receivers. */
    readonly successes: readonly DigestCount[];
}

/** An outcome of one instance, as distributed to all. The origin and its sequence number identify it. */
export interface DistributedOutcome {
    /** See `instanceKey`. */
    readonly origin: number;
    readonly sequence: number;
    /** See `nameKey`. */
    readonly upstreamKey: number;
    readonly kind: OutcomeKind;
}

/** A crash of an upstream while a request was in flight, as distributed to all. */
export interface DistributedCrash {
    readonly origin: number;
    readonly sequence: number;
    readonly fingerprint: string;
    readonly upstreamKey: number;
}

/** Resolution of the age of a member in a digest. */
export const memberAgeStepMs = 32;
/** Age of the last heartbeat above which an instance is no longer a member of a digest; six bits hold its steps. */
export const maxMemberAgeMs = 63 * memberAgeStepMs;
