/** The common dependencies of the decision modules. */
import type { ConfigView } from "./config.js";
import type { Membership } from "./membership.js";
import type { Clock, LogPort, MetricsPort, PeerPort, Random, Sha256 } from "./ports.js";

/** Ports and views shared by the decision modules of one instance. */
export interface InstanceContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly sha256: Sha256;
    readonly peers: PeerPort;
    readonly membership: Membership;
    readonly config: ConfigView;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
}
