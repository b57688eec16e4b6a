/** Lets a request wait briefly until this instance is current. */
import type { Membership } from "../membership.js";
import type { Clock } from "../ports.js";

/**
 * Maximum wait. An instance that learns of a newer roster or configuration is not current until it has fetched that
 * version, which normally takes a few milliseconds.
 */
const currentWaitMs = 250;
const checkIntervalMs = 10;

/**
 * Waits a short time until the instance is current, but not past a monotonic deadline. Without the wait, every roster
 * change would cause a few refusals at each instance.
 *
 * @example
 * if (!await waitUntilCurrent({ clock, membership }, request.deadlineMs)) { return refuse("not-current"); }
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
