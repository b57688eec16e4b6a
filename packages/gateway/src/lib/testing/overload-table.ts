/** Prints what callers get under overload. */
import type { Served, SimulatedRoute } from "./overload-simulation.js";

/** Sums of what callers got. */
export type Totals = Omit<Served, "route" | "organisation">;

/**
 * Adds up entries.
 *
 * @example
 * totalOf(served.filter(({ route }) => route === "long")).inTime;
 */
export const totalOf = (served: readonly Served[]): Totals => {
    const sum = { asked: 0, inTime: 0, late: 0, refused: 0, lost: 0, told: 0 };
    for (const entry of served) {
        sum.asked += entry.asked;
        sum.inTime += entry.inTime;
        sum.late += entry.late;
        sum.refused += entry.refused;
        sum.lost += entry.lost;
        sum.told += entry.told;
    }
    return sum;
};

const percent = (count: number, of: number): string => `${(100 * count / Math.max(1, of)).toFixed(1)} %`;

const rowOf = (load: string, decisions: string, group: string, sum: Totals): string => {
    const shares = [sum.inTime, sum.late, sum.refused, sum.lost].map(count => percent(count, sum.asked));
    const returns = (sum.told / Math.max(1, sum.asked)).toFixed(2);
    return `| ${load} | ${decisions} | ${group} | ${sum.asked} | ${shares.join(" | ")} | ${returns} |`;
};

export const tableHead = [
    "| load | decisions | requests | asked | within objective | late | refused | lost | returns for each |",
    "|---|---|---|---|---|---|---|---|---|",
].join("\n");

/**
 * Rows for each route, and for the first organisation and all others.
 *
 * @example
 * console.log(rowsOf("burst", "former", served));
 */
export const rowsOf = (load: string, decisions: string, served: readonly Served[]): string => {
    const routes = [...new Set(served.map(({ route }) => route))].sort();
    const first = served.filter(({ organisation }) => organisation === "org-1");
    const others = served.filter(({ organisation }) => organisation !== "org-1");
    return [
        ...routes.map(route => rowOf(load, decisions, route, totalOf(served.filter(entry => entry.route === route)))),
        rowOf(load, decisions, "org-1", totalOf(first)),
        rowOf(load, decisions, "other organisations", totalOf(others)),
    ].join("\n");
};

/** Values of an answer within its objective, by rank; those of rank 0 and 2 are of a deployment with mixed requests. */
const rankValues = [3.5, 1.5, 0.46];
/** Value of a late answer, as a share. */
const lateValue = 0.5;

/**
 * Share of the value of all requests that their callers got.
 *
 * @example
 * valueOf(served, load.routes) > 0.6;
 */
export const valueOf = (served: readonly Served[], routes: readonly SimulatedRoute[]): number => {
    let [got, asked] = [0, 0];
    for (const entry of served) {
        const value = rankValues[routes.find(({ id }) => id === entry.route)!.rank] ?? 0;
        got += value * (entry.inTime + lateValue * entry.late);
        asked += value * entry.asked;
    }
    return got / asked;
};
