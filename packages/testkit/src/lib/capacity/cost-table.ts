/** Table of measured costs. */
import type { Line, MeasuredLine } from "./line-fit.js";

/** Units of measured values. */
export type CostUnit = "us" | "bytes" | "calls/s" | "messages";

/** A row of the table: the cost of one more unit of something. */
export interface CostRow {
    /** Stable name by which the roles refer to the row. */
    readonly name: string;
    /** Mechanism that causes the cost. */
    readonly mechanism: string;
    /** Unit along the horizontal axis of the line. */
    readonly per: string;
    readonly unit: CostUnit;
    readonly sizes: readonly number[];
    /** Size of the projection. */
    readonly fullSize: number;
    readonly line: MeasuredLine;
}

/**
 * Formats a number with three significant digits and no exponent.
 *
 * @example
 * formatNumber(12345.6); // "12,300"
 */
export const formatNumber = (value: number): string => {
    if (Math.abs(value) < 1e-9) {
        return "0";
    }
    const rounded = Number(value.toPrecision(3));
    return rounded.toLocaleString("en-US", { maximumSignificantDigits: 3 });
};

/** Value of a row's line at a size. A base below zero is noise of the fit and counts as zero. */
export const projected = ({ line }: CostRow, size: number): number => Math.max(0, line.base) + growth(line) * size;

/**
 * Slope of a line, at least 0. A falling line is noise, because no cost falls with size; its projection would hide the
 * cost of other rows.
 */
export const growth = (line: Line): number => Math.max(0, line.slope);

/**
 * Formats rows as a Markdown table.
 *
 * @throws RangeError for a row without mechanism.
 */
export const costTable = (rows: readonly CostRow[]): string => {
    const unnamed = rows.find(({ mechanism }) => mechanism.trim() === "");
    if (unnamed !== undefined) {
        throw new RangeError(`the row "${unnamed.name}" names no mechanism`);
    }
    const head = ["row", "mechanism", "per", "unit", "sizes", "slope", "noise ±", "base", "full size", "there"];
    const lines = rows.map(row => [
        row.name,
        row.mechanism,
        row.per,
        row.unit,
        row.sizes.join(", "),
        formatNumber(row.line.slope),
        formatNumber(row.line.noise),
        formatNumber(row.line.base),
        formatNumber(row.fullSize),
        formatNumber(projected(row, row.fullSize)),
    ]);
    return markdownTable(head, lines);
};

/** Formats a Markdown table. */
export const markdownTable = (head: readonly string[], lines: readonly (readonly string[])[]): string =>
    [head, head.map(() => "---"), ...lines].map(cells => `| ${cells.join(" | ")} |`).join("\n");
