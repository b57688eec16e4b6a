/** Messages between drawing instances and the homes of shares. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { OrganisationId } from "../types.js";

const organisation = z.string().min(1).max(64).transform(text => text as OrganisationId);
const count = z.number().int().min(0).max(1_000_000);
const durationMs = z.number().min(0);

/** What became of the tokens of one draw so far. Totals, so that a repeated report changes nothing. */
export const tokenUsageReportSchema = z.object({
    draw: count.max(Number.MAX_SAFE_INTEGER),
    used: count,
    returned: count,
});

/** Asks the home of a share for tokens; reports ride along. */
export const tokenRequestSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    /** Number of this draw, unique at the drawing instance. */
    draw: z.number().int().min(0),
    /** Tokens for requests that wait now. */
    need: count,
    /** Tokens for requests that are likely to come soon. */
    ahead: count,
    reports: z.array(tokenUsageReportSchema).max(1_000),
});

export const tokenReplySchema = z.object({
    /** Whether the asked instance could act as home. */
    isHome: z.boolean(),
    granted: count,
    /** Tokens left at the home, less those that instances wait for; for the choice between shares. */
    level: z.number(),
    /** Time until the next token, if the bucket is empty. */
    waitMs: durationMs,
});

export const returnSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    reports: z.array(tokenUsageReportSchema).max(1_000),
});

/** State of one bucket for its next home. Times are durations, because clocks differ between instances. */
export const handoverBucketSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    /** Tokens in the bucket; those of open draws still count as present. */
    level: z.number(),
    ratePerSecond: z.number().positive(),
    burst: count,
    /** Epoch under which the sender stopped acting, if the next home's term follows from this stop. */
    epoch: z.number().int().min(0).optional(),
    open: z.array(z.object({ draw: z.string(), count, used: count, returned: count, expiresInMs: durationMs })),
});

export const handoverSchema = z.object({ buckets: z.array(handoverBucketSchema).max(1_000) });

export type TokenUsageReport = z.output<typeof tokenUsageReportSchema>;
export type TokenRequest = z.output<typeof tokenRequestSchema>;
export type TokenReply = z.output<typeof tokenReplySchema>;
export type ReturnNotice = z.output<typeof returnSchema>;
export type HandoverBucket = z.output<typeof handoverBucketSchema>;
export type Handover = z.output<typeof handoverSchema>;

/** `rate.draw`: a drawing instance asks the home of a share for tokens. */
export const requestTokensMethod: PeerMethod<TokenRequest, TokenReply> = {
    name: "rate.draw",
    request: tokenRequestSchema as z.ZodType<TokenRequest>,
    reply: tokenReplySchema,
};

/** `rate.return`: a drawing instance returns unused tokens and reports uses. */
export const returnTokensMethod: PeerMethod<ReturnNotice, void> = {
    name: "rate.return",
    request: returnSchema as z.ZodType<ReturnNotice>,
    reply: z.void(),
};

/** `rate.handover`: a leaving home passes its buckets to its successor; the reply is the number accepted. */
export const handOverBucketsMethod: PeerMethod<Handover, number> = {
    name: "rate.handover",
    request: handoverSchema as z.ZodType<Handover>,
    reply: z.number().int(),
};
