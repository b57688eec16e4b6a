/** What membership is built from. */
import type { Clock, InstanceListPort, LogPort, MetricsPort, PeerPort, PlatformPort, Random } from "../ports.js";
import type { InstanceId, InstanceInfo } from "../types.js";
import type { MembershipSettings } from "./settings.js";

/** How membership learns this instance's configuration state, and tells of newer ones. */
export interface ConfigurationState {
    /** Revision in force at this instance; 0 before there is one. */
    revision(): number;
    /** Number of withdrawn keys that this instance knows. */
    withdrawals(): number;
    /** Whether others are known to hold newer configuration or more withdrawals; the instance is not current then. */
    isBehind?(): boolean;
    /** Reads `config` from the platform and accepts it. Rejects when the platform was not reached. */
    refresh(): Promise<void>;
    /** A peer holds a higher revision or a withdrawal set of another size: fetch from it. Called with each heartbeat. */
    onPeerMismatch(peer: InstanceId, revision: number, withdrawals: number): void;
}

/** Hands over state of a leaving instance. The successor is undefined when the seat is to be vacated. */
export type HandoverHook = (successor: InstanceId | undefined) => Promise<void>;

/** What membership is built from. */
export interface MembershipOptions {
    /** This instance as peers and callers see it. */
    readonly info: InstanceInfo;
    readonly clock: Clock;
    readonly random: Random;
    readonly peers: PeerPort;
    readonly platform: PlatformPort;
    readonly instanceList: InstanceListPort;
    readonly configuration: ConfigurationState;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    /** Share of this instance's capacity in use, 0 to 1. */
    readonly load?: () => number;
    /** Seats of a roster that this instance creates; undefined while that is not known. Default: the settings' number. */
    readonly seats?: () => number | undefined;
    /** Peers known from elsewhere, for a start while the instance list is away. */
    readonly seedPeers?: readonly InstanceInfo[];
    readonly settings?: Partial<MembershipSettings>;
    /** Votes that exclude a seat; a majority by default. Tests pass a smaller number to show that safety needs it. */
    readonly exclusionQuorum?: (seats: number) => number;
    /** Goes on acting as home after a leave has said that it stopped. Tests set it to show that safety needs the stop. */
    readonly isActingAfterStop?: boolean | undefined;
}
