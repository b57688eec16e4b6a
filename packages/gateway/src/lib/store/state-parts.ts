/** Divides the state of a collection into parts that are named by their content. */
import { hash32 } from "@sniperoad/core";
import type { Branded, Sha256 } from "@sniperoad/core";
import { StateFormatError } from "../errors.js";
import { fromLines, toLines } from "./state-lines.js";

/** Name of a part: the first half of the SHA-256 of its bytes, as lower-case hex. */
export type PartHash = Branded<"PartHash">;

/** The parts of a state, in order, without their content. */
export interface StateOutline {
    readonly revision: number;
    readonly parts: readonly PartHash[];
}

/** A state with the content of its parts. */
export interface DividedState {
    readonly outline: StateOutline;
    readonly content: ReadonlyMap<PartHash, Uint8Array>;
}

/** Size from which a part ends at the next line whose hash says so. */
const minPartBytes = 2_048;
/** Maximum size of a part. A longer line is divided. */
export const maxPartBytes = 16_384;
/** Maximum number of parts of a state, many times that of the largest value that the store takes. */
export const maxParts = 4_096;
/** Mean number of lines from the minimum size of a part to its end. */
const linesToBoundary = 16;
const hashDigits = 32;

/**
 * Divides a state. Where a part ends depends on the lines around its end only, so that a change of some lines changes
 * the parts that contain them and few others; an instance that holds the former state needs only these.
 *
 * @throws StateFormatError if the state has more than {@link maxParts} parts
 * @example
 * const { outline, content } = divideState(9, config, sha256);
 */
export const divideState = (revision: number, value: object, sha256: Sha256): DividedState => {
    const content = new Map<PartHash, Uint8Array>();
    const parts = partsOf(toLines(value)).map(bytes => {
        const hash = partHashOf(bytes, sha256);
        content.set(hash, bytes);
        return hash;
    });
    if (parts.length > maxParts) {
        throw new StateFormatError(
            `revision ${revision} has ${parts.length} parts, the limit is ${maxParts}; divide it into several deployments`,
        );
    }
    return { outline: { revision, parts }, content };
};

/**
 * Joins the parts of an outline to the value of the state.
 *
 * @throws StateFormatError if a part is missing or the parts make no state
 */
export const joinState = ({ parts }: StateOutline, content: ReadonlyMap<PartHash, Uint8Array>): unknown => {
    const bytes = parts.map(hash => {
        const part = content.get(hash);
        if (part === undefined) {
            throw new StateFormatError(`part ${hash} of a state is missing; fetch it again`);
        }
        return part;
    });
    const text = Buffer.concat(bytes).toString("utf8");
    if (!text.endsWith("\n")) {
        throw new StateFormatError("a state ends within a line; run the same release on all instances");
    }
    return fromLines(text.slice(0, -1).split("\n"));
};

/** Name of a part with this content. */
export const partHashOf = (bytes: Uint8Array, sha256: Sha256): PartHash =>
    sha256(bytes).slice(0, hashDigits) as PartHash;

const partsOf = (lines: readonly string[]): readonly Uint8Array[] => {
    const parts: Uint8Array[] = [];
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    const end = (): void => {
        if (pendingBytes > 0) {
            parts.push(Buffer.concat(pending));
            pending = [];
            pendingBytes = 0;
        }
    };
    for (const line of lines) {
        const bytes = Buffer.from(`${line}\n`);
        if (pendingBytes + bytes.length > maxPartBytes) {
            end();
        }
        for (let start = 0; start < bytes.length; start += maxPartBytes) {
            const slice = bytes.subarray(start, start + maxPartBytes);
            pending.push(slice);
            pendingBytes += slice.length;
            if (pendingBytes === maxPartBytes) {
                end();
            }
        }
        if (pendingBytes >= minPartBytes && hash32(line) % linesToBoundary === 0) {
            end();
        }
    }
    end();
    return parts;
};
