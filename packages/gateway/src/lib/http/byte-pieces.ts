/** Pieces of the bytes that a connection brings or takes. */

/** Size of the parts in which a response is written, so that it shows whether the caller takes it. */
const partBytes = 65_536;
const emptyLine = Buffer.from("\r\n\r\n");

/** Whether the first empty line of a header or of several is at the end of a piece. */
export const endsWithEmptyLine = (piece: Buffer): boolean => {
    const index = piece.indexOf(emptyLine);
    return index >= 0 && index === piece.length - emptyLine.length;
};

/** Returns the parts in which bytes are written. */
export const partsOf = (chunk: Buffer): readonly Buffer[] => {
    if (chunk.length <= partBytes) {
        return [chunk];
    }
    const parts: Buffer[] = [];
    for (let start = 0; start < chunk.length; start += partBytes) {
        parts.push(chunk.subarray(start, start + partBytes));
    }
    return parts;
};
