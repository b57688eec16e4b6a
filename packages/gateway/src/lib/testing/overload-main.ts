/** `npm run overload -- [INSTANCES UPSTREAMS [LOAD]]`: prints what callers get by each kind of decisions. */
import process from "node:process";
import { formerDecisions } from "./former-admission.js";
import { currentDecisions, withoutFairShares } from "./instance-decisions.js";
import { overloads } from "./overload-loads.js";
import { playOverload } from "./overload-simulation.js";
import type { Policy } from "./overload-simulation.js";
import { rowsOf, tableHead } from "./overload-table.js";

const [instances, upstreams] = process.argv.slice(2, 4).map(Number);
const only = process.argv[4] ?? "";
const sizes = instances === undefined
    ? [[42, 24], [96, 24], [293, 48]] as const
    : [[instances, upstreams ?? 24]] as const;
const policies: Readonly<Record<string, Policy>> = {
    former: formerDecisions,
    current: currentDecisions,
    "without shares": withoutFairShares,
    oracle: "oracle",
};
process.stdout.write(`${tableHead}\n`);
for (const [count, size] of sizes) {
    for (const load of overloads(count, size).filter(({ name }) => name.includes(only))) {
        for (const [name, policy] of Object.entries(policies)) {
            process.stdout.write(`${rowsOf(`${load.name}, ${count}`, name, await playOverload(load, policy))}\n`);
        }
    }
}
