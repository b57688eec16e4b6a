/** Messages between drawing instances and the homes of shares. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { OrganisationId } from "../types.js";

const organisation = z.string().min(1).max(64).transform(text => text as OrganisationId);
const count = z.number().int().min(0).max(1_000_000);
const durationMs = z.number().min(0);

/** What became of the tokens of one draw so far. Totals, so that a repeated report changes nothing. */
export const drawReportSchema = z.object({ draw: count.max(Number.MAX_SAFE_INTEGER), used: count, returned: count });

/** Asks the home of a share for tokens; reports ride along. */
export const drawRequestSchema = z.object({
    organisation,
    share: z.number().int().min(0).max(63),
    /** Number of this draw, unique at the drawing instance. */
    draw: z.number().int().min(0),
    /** Tokens for requests that wait now. */
    need: count,
    /** Tokens for requests that are likely to come soon. */
    ahead: count,
    reports: z.array(drawReportSchema).max(1_000),
});

export const drawReplySchema = z.object({
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
    reports: z.array(drawReportSchema).max(1_000),
});

/** State of one bucket for its next home. Times are durations, because clocks differ between instances. */
export const handedBucketSchema = z.object({
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

export const handoverSchema = z.object({ buckets: z.array(handedBucketSchema).max(1_000) });

export type DrawReport = z.output<typeof drawReportSchema>;
export type DrawRequest = z.output<typeof drawRequestSchema>;
export type DrawReply = z.output<typeof drawReplySchema>;
export type ReturnNotice = z.output<typeof returnSchema>;
export type HandedBucket = z.output<typeof handedBucketSchema>;
export type Handover = z.output<typeof handoverSchema>;

/** `rate.draw`: a drawing instance asks the home of a share for tokens. */
export const rateDraw: PeerMethod<DrawRequest, DrawReply> = {
    name: "rate.draw",
    request: drawRequestSchema as z.ZodType<DrawRequest>,
    reply: drawReplySchema,
};

/** `rate.return`: a drawing instance returns unused tokens and reports uses. */
export const rateReturn: PeerMethod<ReturnNotice, void> = {
    name: "rate.return",
    request: returnSchema as z.ZodType<ReturnNotice>,
    reply: z.void(),
};

/** `rate.handover`: a leaving home passes its buckets to its successor; the reply is the number accepted. */
export const rateHandover: PeerMethod<Handover, number> = {
    name: "rate.handover",
    request: handoverSchema as z.ZodType<Handover>,
    reply: z.number().int(),
};
