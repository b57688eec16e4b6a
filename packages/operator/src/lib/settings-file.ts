/** Reads files of JSON with comments. Every error names file, line, field and remedy. */
import {
    type ConfigProblem,
    formatFieldPath,
    InvalidConfigurationError,
    schemaProblems,
    type ValidationResult,
} from "@sniperoad/core";
import {
    findNodeAtLocation,
    type Node,
    type ParseError,
    ParseErrorCode,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { readFile } from "node:fs/promises";
import type { z } from "zod";

/** Checks a value that was read; see {@link schemaValidator}. */
export type Validator<T> = (value: unknown) => ValidationResult<T>;

/** Longer files are refused before they are parsed; no value that the platform stores comes near. */
const maxFileBytes = 16_000_000;
/** More problems than anyone reads in one go. */
const maxProblemsShown = 20;

/** A check by a zod schema alone. */
export const schemaValidator = <T>(schema: z.ZodType<T>): Validator<T> => value => {
    const parsed = schema.safeParse(value);
    return parsed.success
        ? { kind: "valid", value: parsed.data }
        : { kind: "invalid", problems: schemaProblems(parsed.error) };
};

/**
 * Reads and checks a file.
 *
 * @throws InvalidConfigurationError with a line `file:line: field: problem; remedy` for each fault.
 * @example
 * const settings = await readSettings("instance.jsonc", bySchema(settingsSchema));
 */
export const readSettings = async <T>(file: string, check: Validator<T>): Promise<T> => {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        const { code } = error as NodeJS.ErrnoException;
        throw new InvalidConfigurationError(
            `${file}:1: (whole file): the file cannot be read (${code}); check its path and permissions`,
        );
    }
    return parseSettings(text, file, check);
};

/**
 * Checks the text of a file; `file` is for messages.
 *
 * @throws InvalidConfigurationError
 */
export const parseSettings = <T>(text: string, file: string, check: Validator<T>): T => {
    if (text.length > maxFileBytes) {
        fail(file, text, [{ offset: 0, problem: `the file is longer than ${maxFileBytes}`, remedy: "split it" }]);
    }
    const errors: ParseError[] = [];
    const root = parseTree(text.replace(/^\uFEFF/, " "), errors, { allowTrailingComma: true });
    if (root === undefined || errors.length > 0) {
        const faults = errors.map(({ error, offset }) => ({ offset, ...explainSyntax(error) }));
        fail(
            file,
            text,
            faults.length > 0 ? faults : [{ offset: 0, problem: "the file is empty", remedy: fillRemedy }],
        );
    }
    const repeated = repeatedFields(root, []);
    if (repeated.length > 0) {
        fail(file, text, repeated);
    }
    const checked = check(valueOf(root));
    if (checked.kind === "invalid") {
        fail(file, text, checked.problems.map(problem => ({ ...problem, offset: offsetOf(root, problem.path) })));
    }
    return checked.value;
};

const fillRemedy = "write a JSON object into it";

interface Fault {
    readonly path?: ConfigProblem["path"];
    readonly offset: number;
    readonly problem: string;
    readonly remedy: string;
}

function fail(file: string, text: string, faults: readonly Fault[]): never {
    const lines = faults.slice(0, maxProblemsShown).map(({ path, offset, problem, remedy }) =>
        `${file}:${lineOf(text, offset)}: ${formatFieldPath(path ?? [])}: ${problem}; ${remedy}`
    );
    const hidden = faults.length - lines.length;
    throw new InvalidConfigurationError([...lines, ...(hidden > 0 ? [`and ${hidden} more`] : [])].join("\n"));
}

const lineOf = (text: string, offset: number): number => text.slice(0, offset).split("\n").length;

const explainSyntax = (code: ParseErrorCode): { readonly problem: string; readonly remedy: string; } => {
    const problem = `not valid JSON (${printParseErrorCode(code)})`;
    switch (code) {
        case ParseErrorCode.CommaExpected:
            return { problem, remedy: "put a comma before this place" };
        case ParseErrorCode.CloseBraceExpected:
        case ParseErrorCode.CloseBracketExpected:
            return { problem, remedy: "close the object or list before this place" };
        case ParseErrorCode.UnexpectedEndOfString:
        case ParseErrorCode.InvalidCharacter:
        case ParseErrorCode.InvalidEscapeCharacter:
            return { problem, remedy: "close the text with a double quote and escape special characters" };
        case ParseErrorCode.ValueExpected:
        case ParseErrorCode.InvalidSymbol:
            return { problem, remedy: "write a value: a text in double quotes, a number, true, false, [...] or {...}" };
        case ParseErrorCode.PropertyNameExpected:
            return { problem, remedy: "write the name of the field in double quotes" };
        case ParseErrorCode.EndOfFileExpected:
            return { problem, remedy: "remove what follows the end of the object" };
        default:
            return { problem, remedy: "correct the text at this place" };
    }
};

/** The parser keeps the last of two fields with one name; an operator may have meant either. */
const repeatedFields = (node: Node, path: readonly (string | number)[]): readonly Fault[] => {
    const seen = new Set<string>();
    return (node.children ?? []).flatMap<Fault>((child, index) => {
        if (node.type === "array") {
            return repeatedFields(child, [...path, index]);
        }
        const [nameNode, value] = child.children ?? [];
        const place = [...path, String(nameNode?.value)];
        const below = value === undefined ? [] : repeatedFields(value, place);
        if (!seen.has(String(nameNode?.value))) {
            seen.add(String(nameNode?.value));
            return below;
        }
        return [
            {
                path: place,
                offset: child.offset,
                problem: "the field stands twice in its object",
                remedy: "remove one",
            },
            ...below,
        ];
    });
};

/** Objects have no prototype, so that a field named `__proto__` is an unknown field and nothing else. */
const valueOf = (node: Node): unknown => {
    if (node.type === "array") {
        return (node.children ?? []).map(valueOf);
    }
    if (node.type !== "object") {
        return node.value;
    }
    const value: Record<string, unknown> = Object.create(null);
    for (const { children: [nameNode, field] = [] } of node.children ?? []) {
        value[String(nameNode?.value)] = field === undefined ? undefined : valueOf(field);
    }
    return value;
};

/** Offset of a field, or of the nearest part of the file that would hold it. */
const offsetOf = (root: Node, path: ConfigProblem["path"]): number => {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            return node.parent?.type === "property" ? node.parent.offset : node.offset;
        }
    }
    return root.offset;
};
