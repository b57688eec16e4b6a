/** Options and hooks of cluster membership. */
import type { Clock, InstanceListPort, LogPort, MetricsPort, PeerPort, PlatformPort, Random } from "../ports.js";
import type { InstanceId, InstanceInfo } from "../types.js";
import type { MembershipSettings } from "./settings.js";

/** Access to this instance's configuration state. */
export interface ConfigurationState {
    /** Active revision at this instance; 0 if there is none yet. */
    revision(): number;
    /** Number of withdrawn keys in this instance's set. */
    withdrawals(): number;
    /** Whether peers have a newer configuration or more withdrawals, in which case this instance is not current. */
    isBehind?(): boolean;
    /** Reads `config` from the platform and accepts it. Rejects if the platform cannot be reached. */
    refresh(): Promise<void>;
    /**
     * Called for each heartbeat from a peer with a higher revision or a withdrawal set of another size. The
     * implementation fetches from that peer.
     */
    onPeerMismatch(peer: InstanceId, revision: number, withdrawals: number): void;
}

/** Hands over state of a leaving instance. The successor is undefined if the seat will be vacated. */
export type HandoverHook = (successor: InstanceId | undefined) => Promise<void>;

/** Options of `FleetMembership`. */
export interface MembershipOptions {
    /** This instance, as announced to peers and callers. */
    readonly info: InstanceInfo;
    readonly clock: Clock;
    readonly random: Random;
    readonly peers: PeerPort;
    readonly platform: PlatformPort;
    readonly instanceList: InstanceListPort;
    readonly configuration: ConfigurationState;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    /** Returns the share of this instance's capacity in use, 0 to 1. */
    readonly load?: () => number;
    /** Number of seats of a roster that this instance creates; undefined while unknown. Default: `settings.seats`. */
    readonly seats?: () => number | undefined;
    /** Initial peers, used if the instance list is unavailable at startup. */
    readonly seedPeers?: readonly InstanceInfo[];
    readonly settings?: Partial<MembershipSettings>;
    /**
     * Number of votes that exclude a seat; a majority by default. Tests use fewer to show that safety depends on it.
     */
    readonly exclusionQuorum?: (seats: number) => number;
    /** Keeps acting as coordinator after announcing the stop. Tests set it to show that safety depends on stopping. */
    readonly isActingAfterStop?: boolean | undefined;
}
