/** A short wait for an instance that is about to be current again. */
import type { Membership } from "../membership.js";
import type { Clock } from "../ports.js";

/** An instance that hears of a newer version is not current until it has fetched it, a few milliseconds later. */
const currentWaitMs = 250;
const checkIntervalMs = 10;

/**
 * Waits until the instance is current, for a short time and not past a deadline (monotonic). Without the wait every
 * roster change would cost a few refusals at each instance.
 *
 * @example
 * if (!await untilCurrent({ clock, membership }, request.deadlineMs)) { return refuse("not-current"); }
 */
export const waitUntilCurrent = async (
    { clock, membership }: { readonly clock: Clock; readonly membership: Membership; },
    deadlineMs: number,
): Promise<boolean> => {
    const endMs = Math.min(deadlineMs, clock.monotonicMs() + currentWaitMs);
    while (!membership.isCurrent()) {
        if (clock.monotonicMs() >= endMs) {
            return false;
        }
        await new Promise<void>(resolve => clock.after(checkIntervalMs, resolve));
    }
    return true;
};
