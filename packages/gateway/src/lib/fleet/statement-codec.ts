/** Wire format of the statements and outages of upstreams that instances share. */
import type { SharedOutage } from "../statements/upstream-outages.js";
import type { SharedStatement } from "../statements/upstream-statements.js";
import { PackedReader, PackedWriter } from "./packed.js";
import { readBytes } from "./wire-read.js";

/** Resolution of a limit, in parts of a request per second. */
const limitSteps = 100;

/** Encodes statements as bytes; {@link decodeStatements} is the inverse, with limits rounded to 0.01 a second. */
export const encodeStatements = (statements: readonly SharedStatement[]): Uint8Array => {
    const writer = new PackedWriter();
    for (const { key, incarnation, ageMs, limitPerSecond, isLeaving } of statements) {
        const limit = limitPerSecond === undefined ? 0 : Math.round(limitPerSecond * limitSteps) + 1;
        writer.uint(key, 3).uint(incarnation, 4).varint(Math.round(ageMs) * 2 + (isLeaving ? 1 : 0)).varint(limit);
    }
    return writer.bytes();
};

/** @throws DatagramError if the value does not match the schema */
export const decodeStatements = (value: unknown): readonly SharedStatement[] =>
    new PackedReader(readBytes(value)).all(reader => {
        const [key, incarnation, age, limit] = [reader.uint(3), reader.uint(4), reader.varint(), reader.varint()];
        return {
            key,
            incarnation,
            ageMs: Math.floor(age / 2),
            limitPerSecond: limit === 0 ? undefined : (limit - 1) / limitSteps,
            isLeaving: age % 2 === 1,
        };
    });

/** Encodes outages as bytes; {@link decodeOutages} is the inverse, with ages in whole milliseconds. */
export const encodeOutages = (outages: readonly SharedOutage[]): Uint8Array => {
    const writer = new PackedWriter();
    for (const { key, incarnation, refusedAgeMs, answeredAgeMs } of outages) {
        writer.uint(key, 3).uint(incarnation, 4).varint(Math.round(refusedAgeMs));
        writer.varint(answeredAgeMs === undefined ? 0 : Math.round(answeredAgeMs) + 1);
    }
    return writer.bytes();
};

/** @throws DatagramError if the value does not match the schema */
export const decodeOutages = (value: unknown): readonly SharedOutage[] =>
    new PackedReader(readBytes(value)).all(reader => {
        const [key, incarnation] = [reader.uint(3), reader.uint(4)];
        const [refusedAgeMs, answeredAge] = [reader.varint(), reader.varint()];
        return { key, incarnation, refusedAgeMs, answeredAgeMs: answeredAge === 0 ? undefined : answeredAge - 1 };
    });
