/** Messages between requesting instances and the coordinators of shares. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { OrganisationId } from "../types.js";

const organisation = z.string().min(1).max(64).transform(text => text as OrganisationId);
const count = z.number().int().min(0).max(1_000_000);
const durationMs = z.number().min(0);

/** Use of the tokens of one request so far. The counts are totals, so a repeated report changes nothing. */
export const tokenUsageReportSchema = z.object({
    draw: count.max(Number.MAX_SAFE_INTEGER),
    used: count,
    returned: count,
});

/** Requests tokens from the coordinator of a share, with reports about earlier requests. */
export const tokenRequestSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    /** Number of this request, unique at the requesting instance. */
    draw: z.number().int().min(0),
    /** Tokens for requests that are waiting. */
    need: count,
    /** Tokens for requests that are expected soon. */
    ahead: count,
    reports: z.array(tokenUsageReportSchema).max(1_000),
});

/** Reply to a token request. */
export const tokenReplySchema = z.object({
    /** Whether the receiver of the request may act as coordinator of the share. If not, nothing was granted. */
    isHome: z.boolean(),
    granted: count,
    /** Tokens left at the coordinator, less those that instances are waiting for. Used to choose between shares. */
    level: z.number(),
    /** Time until the next token, if the bucket is empty. */
    waitMs: durationMs,
});

/** Reports about requests, without a new request. */
export const returnSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    reports: z.array(tokenUsageReportSchema).max(1_000),
});

/** State of one bucket for its next coordinator. Times are durations, because clocks differ between instances. */
export const handoverBucketSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    /** Tokens in the bucket. Tokens of open grants still count as present. */
    level: z.number(),
    ratePerSecond: z.number().positive(),
    burst: count,
    /**
     * Epoch of the sender's seat, if membership announces that the sender stopped. Only a term that names this epoch as
     * its predecessor may use the bucket. Absent if the seat is handed over.
     */
    epoch: z.number().int().min(0).optional(),
    /** Grants whose tokens may still be used. `draw` consists of the requesting instance and its request number. */
    open: z.array(z.object({ draw: z.string(), count, used: count, returned: count, expiresInMs: durationMs })),
});

export const handoverSchema = z.object({ buckets: z.array(handoverBucketSchema).max(1_000) });

export type TokenUsageReport = z.output<typeof tokenUsageReportSchema>;
export type TokenRequest = z.output<typeof tokenRequestSchema>;
export type TokenReply = z.output<typeof tokenReplySchema>;
export type ReturnNotice = z.output<typeof returnSchema>;
export type HandoverBucket = z.output<typeof handoverBucketSchema>;
export type Handover = z.output<typeof handoverSchema>;

/** `rate.draw`: an instance requests tokens from the coordinator of a share. */
export const requestTokensMethod: PeerMethod<TokenRequest, TokenReply> = {
    name: "rate.draw",
    request: tokenRequestSchema as z.ZodType<TokenRequest>,
    reply: tokenReplySchema,
};

/** `rate.return`: an instance returns unused tokens and reports uses. */
export const returnTokensMethod: PeerMethod<ReturnNotice, void> = {
    name: "rate.return",
    request: returnSchema as z.ZodType<ReturnNotice>,
    reply: z.void(),
};

/**
 * `rate.handover`: a leaving coordinator hands its buckets over to its successor, which replies with the number
 * accepted.
 */
export const handOverBucketsMethod: PeerMethod<Handover, number> = {
    name: "rate.handover",
    request: handoverSchema as z.ZodType<Handover>,
    reply: z.number().int(),
};
