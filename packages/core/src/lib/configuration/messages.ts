/** Messages between instances for configuration and withdrawals. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { KeyId } from "../types.js";

/**
 * Maximum number of withdrawn keys. With ids of at most 64 bytes, the whole set stays below 1 MB, the limit of a
 * platform value and of a peer frame.
 */
export const maxWithdrawals = 10_000;

/** Key id, in the same form as in the configuration. */
export const keyIdSchema = z.string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, "use the key id, the part of the key before its last dot")
    .transform(text => text as KeyId);

const keySetSchema = z.array(keyIdSchema).max(maxWithdrawals);

/** Value of the platform object `withdrawals`. */
export const withdrawalsValueSchema = z.strictObject({ keys: keySetSchema });

const fetchRequestSchema = z.object({ atLeast: z.number().int().min(0) });
/** The receiver validates `config`. It is undefined if the sender's revision is lower than requested. */
const fetchReplySchema = z.object({ config: z.unknown() });

/** Requests the configuration of a peer with at least the given revision. */
export const configFetch: PeerMethod<z.output<typeof fetchRequestSchema>, z.output<typeof fetchReplySchema>> = {
    name: "config.fetch",
    request: fetchRequestSchema,
    reply: fetchReplySchema,
};

const withdrawRequestSchema = z.object({
    /** Keys of the sender; absent in a comparison by digest only. */
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
