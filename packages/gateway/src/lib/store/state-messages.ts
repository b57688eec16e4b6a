/** Messages in which instances provide collections to each other. */
import type { PeerMethod } from "@sniperoad/core";
import * as z from "zod";
import { maxParts } from "./state-parts.js";
import type { PartHash, StateOutline } from "./state-parts.js";

/** The collections that instances share. */
export const sharedCollections = ["config", "upstreams", "evacuations"] as const;
const collectionSchema = z.enum(sharedCollections);
export type SharedCollection = z.output<typeof collectionSchema>;

const hashSchema = z.string().regex(/^[0-9a-f]{32}$/).transform(hash => hash as PartHash);

/** Number of parts that are asked for in one call, at most 64 kB before compression. */
export const maxPartsPerCall = 4;

/** Asks for the names of the parts of the newest state that an instance holds. */
export const outlineMethod: PeerMethod<{ collection: SharedCollection; }, StateOutline> = {
    name: "gateway.state-outline",
    request: z.strictObject({ collection: collectionSchema }),
    reply: z.strictObject({ revision: z.number().int().min(0), parts: z.array(hashSchema).max(maxParts) }),
};

/** Parts of a state, or when to ask again. */
export interface PartsReply {
    /** Compressed content of each part that was asked for, in that order; null if this instance does not hold it. */
    readonly parts: readonly (Uint8Array | null)[];
    /** Time after which the holder has room for a transfer; 0 if it sent the parts. */
    readonly retryAfterMs: number;
}

/** Asks for parts by their names. */
export const partsMethod: PeerMethod<{ collection: SharedCollection; parts: PartHash[]; }, PartsReply> = {
    name: "gateway.state-parts",
    request: z.strictObject({
        collection: collectionSchema,
        parts: z.array(hashSchema).min(1).max(maxPartsPerCall),
    }),
    reply: z.strictObject({
        parts: z.array(z.instanceof(Uint8Array).nullable()).max(maxPartsPerCall),
        retryAfterMs: z.number().min(0),
    }),
};
