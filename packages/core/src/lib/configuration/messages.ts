/** Messages between instances about configuration and withdrawals. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { KeyId } from "../types.js";

/** Ids of at most 64 bytes: the whole set stays below 1 MB, the limit of a platform value and of a peer frame. */
export const maxWithdrawals = 10_000;

/** The same form as key ids have in the configuration. */
export const keyIdSchema = z.string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, "use the key id, the part of the key before its last dot")
    .transform(text => text as KeyId);

const keySetSchema = z.array(keyIdSchema).max(maxWithdrawals);

/** Value of the platform object `withdrawals`. */
export const withdrawalsValueSchema = z.strictObject({ keys: keySetSchema });

const fetchRequestSchema = z.object({ atLeast: z.number().int().min(0) });
/** The value is checked by the receiver in full; undefined if the sender does not hold the revision any more. */
const fetchReplySchema = z.object({ config: z.unknown() });

/** Asks a peer for its configuration of at least a revision. */
export const configFetch: PeerMethod<z.output<typeof fetchRequestSchema>, z.output<typeof fetchReplySchema>> = {
    name: "config.fetch",
    request: fetchRequestSchema,
    reply: fetchReplySchema,
};

const withdrawRequestSchema = z.object({
    /** Keys that the sender holds; absent in a comparison by digest alone. */
    keys: keySetSchema.optional(),
    /** Digest of the sender's whole set. */
    digest: z.string().max(64),
});
const withdrawReplySchema = z.object({
    /** Digest of the receiver's whole set after the merge. */
    digest: z.string().max(64),
    /** The receiver's whole set, if its digest differs from the sender's. */
    keys: keySetSchema.optional(),
});

/** Exchanges withdrawal sets. A peer that replies holds every key of the request. */
export const configWithdraw: PeerMethod<
    z.output<typeof withdrawRequestSchema>,
    z.output<typeof withdrawReplySchema>
> = {
    name: "config.withdraw",
    request: withdrawRequestSchema,
    reply: withdrawReplySchema,
};
