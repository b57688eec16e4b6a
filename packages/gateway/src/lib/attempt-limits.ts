/** Creates the components that count attempts over the fleet, and joins what they report in heartbeats. */
import { RetryBudget } from "./balance/retry-budget.js";
import type { RetryBudgetSetup } from "./balance/retry-budget.js";
import type { Heartbeat } from "./fleet/heartbeat.js";
import type { GatewayOptions } from "./gateway-components.js";
import { RejectionMonitor } from "./health/rejection-monitor.js";
import type { SharedOutcomes } from "./health/shared-outcomes.js";
import type { GatewaySettings } from "./settings.js";

/** Components that count attempts over the fleet. */
export interface AttemptLimits {
    readonly retryBudget: RetryBudget;
    readonly rejections: RejectionMonitor;
}

/** Creates the components that count attempts over the fleet. */
export const createAttemptLimits = (
    { clock, random, settings }: GatewayOptions,
    { remote, reach, outcomes }: Pick<RetryBudgetSetup, "remote" | "reach"> & { readonly outcomes: SharedOutcomes; },
): AttemptLimits => {
    const retryBudget = new RetryBudget({ clock, random, limits: () => retryOptions(settings()), remote, reach });
    const rejections = new RejectionMonitor({
        clock,
        usage: remote.usage,
        requestsPerSecond: service => retryBudget.requestsPerSecond(service),
        outcomes,
    });
    return { retryBudget, rejections };
};

/** What a heartbeat reports of counts over the fleet. */
type ReportedUsage = Pick<Heartbeat, "usage" | "hasScarceUsage">;

/** Joins the counts of services with those of organisations. Those of services come first, as a heartbeat is limited. */
export const joinUsage = ({ retryBudget, rejections }: AttemptLimits, rates: ReportedUsage): ReportedUsage => {
    const { usage, hasScarceUsage } = retryBudget.take();
    return {
        usage: [...usage, ...rejections.report(), ...rates.usage],
        hasScarceUsage: hasScarceUsage || rates.hasScarceUsage,
    };
};

const retryOptions = ({ retryShare, retryBurst, retryWindowSeconds }: GatewaySettings) => ({
    share: retryShare,
    burst: retryBurst,
    windowMs: retryWindowSeconds * 1_000,
});
