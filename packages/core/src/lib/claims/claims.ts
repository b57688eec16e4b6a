/** The parts of claims of one instance, put together. */
import type { InstanceContext } from "../context.js";
import type { ClaimGate } from "../stages.js";
import type { InstanceId } from "../types.js";
import { QuorumClaimGate } from "./claim-gate.js";
import { ClaimHolder } from "./claim-holder.js";
import { ClaimSync } from "./claim-sync.js";
import { type ClaimOptions, defaultClaimOptions } from "./options.js";

/** Claims of one instance: the gate for its own requests and its part as a holder. */
export interface Claims {
    readonly gate: ClaimGate;
    readonly holder: ClaimHolder;
    /**
     * Hands the claims over on a graceful leave. Call it after the last request has finished and before the seat is
     * given away; this instance stops acting as a holder at once. Returns whether all claims were accepted; if not, the
     * next holder synchronises from the other holders.
     */
    handOver(successor: InstanceId | undefined): Promise<boolean>;
}

/**
 * Starts the claims of one instance.
 *
 * Small fleets: with three seats or more, a claim survives the loss of one of its holders. With two seats, both must
 * record it, so nothing runs while one is away. With one seat, a claim lives as long as its instance: a successor
 * answers "unknown" for keys from before its first ten seconds or so (`vouchMarginMs`) and never repeats them. With
 * fewer than three zones, holders share zones, and a zone that is lost may take two of them.
 *
 * @example
 * const claims = startClaims(context);
 * const decision = await claims.gate.begin(request, key);
 */
export const startClaims = (context: InstanceContext, options: ClaimOptions = defaultClaimOptions): Claims => {
    const holder = new ClaimHolder(context, options);
    const sync = new ClaimSync(context, options, holder);
    holder.listen();
    sync.start();
    return {
        gate: new QuorumClaimGate(context, options, holder),
        holder,
        handOver: successor => sync.handOver(successor),
    };
};
