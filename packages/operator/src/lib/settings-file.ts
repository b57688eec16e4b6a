/** Reads JSON files with comments. Every error states file, line, field and remedy. */
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

/** Validates a parsed value; see {@link bySchema}. */
export type Validator<T> = (value: unknown) => ValidationResult<T>;

/** Longer files are rejected before parsing. Values stored on the platform are far below this limit. */
const maxFileLength = 16_000_000;
/** Problems beyond this number are only counted, to keep the error message readable. */
const maxProblemsShown = 20;

/** Creates a validator from a zod schema. */
export const bySchema = <T>(schema: z.ZodType<T>): Validator<T> => value => {
    const parsed = schema.safeParse(value);
    return parsed.success
        ? { kind: "valid", value: parsed.data }
        : { kind: "invalid", problems: schemaProblems(parsed.error) };
};

/**
 * Reads and validates a file.
 *
 * @throws InvalidConfigurationError with a line `file:line: field: problem; remedy` for each problem.
 * @example
 * const settings = await readSettings("instance.jsonc", bySchema(settingsSchema));
 */
export const readSettings = async <T>(file: string, validate: Validator<T>): Promise<T> => {
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
    return parseSettings(text, file, validate);
};

/**
 * Validates the text of a file; `file` is used in error messages.
 *
 * @throws InvalidConfigurationError
 */
export const parseSettings = <T>(text: string, file: string, validate: Validator<T>): T => {
    if (text.length > maxFileLength) {
        throwInvalid(file, text, [{
            offset: 0,
            problem: `the file is longer than ${maxFileLength} characters`,
            remedy: "split it",
        }]);
    }
    const errors: ParseError[] = [];
    const root = parseTree(text.replace(/^\uFEFF/, " "), errors, { allowTrailingComma: true });
    if (root === undefined || errors.length > 0) {
        const problems = errors.map(({ error, offset }) => ({ offset, ...explainSyntax(error) }));
        throwInvalid(
            file,
            text,
            problems.length > 0 ? problems : [{ offset: 0, problem: "the file is empty", remedy: emptyFileRemedy }],
        );
    }
    const duplicates = duplicateFields(root, []);
    if (duplicates.length > 0) {
        throwInvalid(file, text, duplicates);
    }
    const checked = validate(valueOf(root));
    if (checked.kind === "invalid") {
        throwInvalid(
            file,
            text,
            checked.problems.map(problem => ({ ...problem, offset: offsetOf(root, problem.path) })),
        );
    }
    return checked.value;
};

const emptyFileRemedy = "write a JSON object into it";

interface FileProblem {
    readonly path?: ConfigProblem["path"];
    readonly offset: number;
    readonly problem: string;
    readonly remedy: string;
}

function throwInvalid(file: string, text: string, problems: readonly FileProblem[]): never {
    const lines = problems.slice(0, maxProblemsShown).map(({ path, offset, problem, remedy }) =>
        `${file}:${lineOf(text, offset)}: ${formatFieldPath(path ?? [])}: ${problem}; ${remedy}`
    );
    const omitted = problems.length - lines.length;
    throw new InvalidConfigurationError([...lines, ...(omitted > 0 ? [`and ${omitted} more`] : [])].join("\n"));
}

const lineOf = (text: string, offset: number): number => text.slice(0, offset).split("\n").length;

const explainSyntax = (code: ParseErrorCode): { readonly problem: string; readonly remedy: string; } => {
    const problem = `not valid JSON (${printParseErrorCode(code)})`;
    switch (code) {
        case ParseErrorCode.CommaExpected:
            return { problem, remedy: "put a comma before this position" };
        case ParseErrorCode.CloseBraceExpected:
        case ParseErrorCode.CloseBracketExpected:
            return { problem, remedy: "close the object or array before this position" };
        case ParseErrorCode.UnexpectedEndOfString:
        case ParseErrorCode.InvalidCharacter:
        case ParseErrorCode.InvalidEscapeCharacter:
            return { problem, remedy: "close the string with a double quote and escape special characters" };
        case ParseErrorCode.ValueExpected:
        case ParseErrorCode.InvalidSymbol:
            return {
                problem,
                remedy: "write a value: a string in double quotes, a number, true, false, [...] or {...}",
            };
        case ParseErrorCode.PropertyNameExpected:
            return { problem, remedy: "write the name of the field in double quotes" };
        case ParseErrorCode.EndOfFileExpected:
            return { problem, remedy: "remove what follows the end of the object" };
        default:
            return { problem, remedy: "correct the syntax at this position" };
    }
};

/** Finds duplicate fields. The parser keeps the last one, but the operator may have meant the other. */
const duplicateFields = (node: Node, path: readonly (string | number)[]): readonly FileProblem[] => {
    const seen = new Set<string>();
    return (node.children ?? []).flatMap<FileProblem>((child, index) => {
        if (node.type === "array") {
            return duplicateFields(child, [...path, index]);
        }
        const [nameNode, value] = child.children ?? [];
        const fieldPath = [...path, String(nameNode?.value)];
        const nestedProblems = value === undefined ? [] : duplicateFields(value, fieldPath);
        if (!seen.has(String(nameNode?.value))) {
            seen.add(String(nameNode?.value));
            return nestedProblems;
        }
        return [
            {
                path: fieldPath,
                offset: child.offset,
                problem: "the field is duplicated in its object",
                remedy: "remove one",
            },
            ...nestedProblems,
        ];
    });
};

/** Converts a node to a value. Objects have no prototype, so that `__proto__` is treated like any other field name. */
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

/** Offset of a field, or of its nearest existing ancestor if it is missing. */
const offsetOf = (root: Node, path: ConfigProblem["path"]): number => {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            return node.parent?.type === "property" ? node.parent.offset : node.offset;
        }
    }
    return root.offset;
};
