/** Assembles the claim components of one instance. */
import type { InstanceContext } from "../context.js";
import type { ClaimGate } from "../stages.js";
import type { InstanceId } from "../types.js";
import { QuorumClaimGate } from "./claim-gate.js";
import { ClaimHolder } from "./claim-holder.js";
import { ClaimSync } from "./claim-sync.js";
import { type ClaimOptions, defaultClaimOptions } from "./options.js";

/** Claim components of one instance: the gate for its own requests and its role as a holder. */
export interface Claims {
    readonly gate: ClaimGate;
    readonly holder: ClaimHolder;
    /**
     * Transfers the claims during a graceful shutdown. Call it after the last request has finished and before the seat
     * is released; this instance stops acting as a holder at once. Returns whether all claims were accepted; if not,
     * the next holder synchronises from the other holders.
     */
    handOver(successor: InstanceId | undefined): Promise<boolean>;
}

/**
 * Starts the claims of one instance.
 *
 * Fault tolerance by fleet size: with three seats or more, a claim survives the loss of one of its holders. With two
 * seats, both must record it, so no non-idempotent request runs while one is unavailable. With one seat, a claim is
 * lost with its instance: a successor returns "unknown" for keys created before about ten seconds after its start
 * (`completenessMarginMs`) and never runs them again. With fewer than three zones, several holders share a zone, and
 * the loss of one zone may take two of them.
 *
 * @example
 * const claims = startClaims(context);
 * const decision = await claims.gate.begin(request, key);
 */
export const startClaims = (context: InstanceContext, options: ClaimOptions = defaultClaimOptions): Claims => {
    const holder = new ClaimHolder(context, options);
    const sync = new ClaimSync(context, options, holder);
    holder.start();
    sync.start();
    return {
        gate: new QuorumClaimGate(context, options, holder),
        holder,
        handOver: successor => sync.handOver(successor),
    };
};
