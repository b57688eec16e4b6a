/** All scenarios. */
import { claimScenarios } from "./claim-scenarios.js";
import { configurationScenarios } from "./configuration-scenarios.js";
import { healthScenarios } from "./health-scenarios.js";
import { rateScenarios } from "./rate-scenarios.js";
import type { Scenario } from "./scenario-dsl.js";

/** All scenarios, in the order in which their results are printed. */
export const scenarios: readonly Scenario[] = [
    ...claimScenarios,
    ...rateScenarios,
    ...configurationScenarios,
    ...healthScenarios,
];
