/** Problems of a configuration or settings value: the field, the problem and the remedy. */
import type { z } from "zod";

/** A problem of a value, with the path of the field and a remedy. */
export interface ConfigProblem {
    readonly path: readonly (string | number)[];
    readonly problem: string;
    readonly remedy: string;
}

/**
 * Formats the path of a field.
 *
 * @example
 * formatFieldPath(["routes", 3, "service"]); // "routes[3].service"
 */
export const formatFieldPath = (path: readonly (string | number)[]): string =>
    path.reduce<string>((text, part) => {
        if (typeof part === "number") {
            return `${text}[${part}]`;
        }
        return text === "" ? part : `${text}.${part}`;
    }, "") || "(whole file)";

/**
 * Formats a problem as one sentence.
 *
 * @example
 * describeProblem({ path: ["seats"], problem: "0 is too small", remedy: "use at least 1" });
 * // "seats: 0 is too small; use at least 1"
 */
export const describeProblem = (problem: ConfigProblem): string =>
    `${formatFieldPath(problem.path)}: ${problem.problem}; ${problem.remedy}`;

/** Converts the issues of a zod schema to problems with remedies. */
export const schemaProblems = (error: z.ZodError): readonly ConfigProblem[] =>
    error.issues.flatMap(issue => {
        const path = issue.path.filter(part => typeof part !== "symbol");
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key => ({
                path: [...path, key],
                problem: "the field is unknown",
                remedy: "remove it or correct its name",
            }));
        }
        return [{ path, ...explain(issue) }];
    });

const explain = (issue: z.core.$ZodIssue): { readonly problem: string; readonly remedy: string; } => {
    switch (issue.code) {
        case "invalid_type":
            return {
                problem: issue.message.includes("undefined") ? "the field is missing" : "the value has the wrong type",
                remedy: `give it a value of type ${issue.expected}`,
            };
        case "too_small":
            return {
                problem: "the value is too small",
                remedy: `use ${issue.inclusive === false ? "more than" : "at least"} ${issue.minimum}`,
            };
        case "too_big":
            return {
                problem: "the value is too large",
                remedy: `use ${issue.inclusive === false ? "less than" : "at most"} ${issue.maximum}`,
            };
        case "invalid_value":
            return {
                problem: "the value is not one of those allowed",
                remedy: `use one of ${issue.values.join(", ")}`,
            };
        case "invalid_format":
            return {
                problem: "the text has the wrong form",
                remedy: issue.format === "starts_with" ? 'start it with "/"' : issue.message,
            };
        default:
            return { problem: "the value is not valid", remedy: issue.message };
    }
};
