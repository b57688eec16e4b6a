/** All scenarios. */
import { claimScenarios } from "./claim-scenarios.js";
import { configurationScenarios } from "./configuration-scenarios.js";
import { healthScenarios } from "./health-scenarios.js";
import { rateScenarios } from "./rate-scenarios.js";
import type { Scenario } from "./scenario-dsl.js";

/** In the order in which they run. */
export const scenarios: readonly Scenario[] = [
    ...claimScenarios,
    ...rateScenarios,
    ...configurationScenarios,
    ...healthScenarios,
];
