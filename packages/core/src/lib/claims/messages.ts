/** Messages between entry instances and holders, and among holders. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { AttemptId, HttpResponse, IdempotencyKey, InstanceId, OrganisationId, SeatId } from "../types.js";

const brandedString = <T extends string>() => z.string().max(300).transform(value => value as T);
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

const responseSchema: z.ZodType<HttpResponse> = z.strictObject({
    status: z.number().int(),
    headers: z.array(z.tuple([z.string(), z.string()])),
    body: bytes,
});

const seatEpochSchema = z.strictObject({ seat: brandedString<SeatId>(), epoch: z.number().int() });

const claimKeyFields = {
    organisation: brandedString<OrganisationId>(),
    key: brandedString<IdempotencyKey>(),
    attempt: brandedString<AttemptId>(),
};

const ownedFields = {
    ...claimKeyFields,
    owner: brandedString<InstanceId>(),
    /** Hash of method, target, route and body. */
    fingerprint: z.string().max(64),
};

const stateSchema = z.enum(["recorded", "complete", "unknown"]);

const recordSchema = z.strictObject({
    ...ownedFields,
    /** Whether the caller declares that there was no earlier attempt. */
    isFirst: z.boolean().optional(),
    /** Holder seats of the key according to the roster of the entry instance. */
    view: z.array(seatEpochSchema).max(3),
});

const recordReplySchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("recorded") }),
    z.strictObject({
        kind: z.literal("exists"),
        state: stateSchema,
        isSameRequest: z.boolean(),
        answer: responseSchema.optional(),
    }),
    /** There is no record, but there may have been one before this instance became holder. */
    z.strictObject({ kind: z.literal("unvouched") }),
    z.strictObject({ kind: z.literal("refused"), reason: z.enum(["not-acting", "view", "key-time", "released"]) }),
]);

const resolveSchema = z.strictObject({
    ...ownedFields,
    state: z.enum(["complete", "unknown"]),
    answer: responseSchema.optional(),
});

const replicatedClaimSchema = z.strictObject({
    ...ownedFields,
    state: stateSchema,
    answer: responseSchema.optional(),
    /** Ids of the holder seats when the claim was recorded. */
    seats: z.string().max(1000),
});

const syncSchema = z.strictObject({
    seat: brandedString<SeatId>(),
    epoch: z.number().int(),
    /** Hash of the seats and zones of the roster, which determine the holder seats of each key. */
    layout: z.string(),
    /** Position after which claims are requested; undefined to compare only the layout. */
    after: z.number().optional(),
});

const syncReplySchema = z.strictObject({
    /** Whether the receiver of the request has the requester's layout. If not, there is no page. */
    isSameLayout: z.boolean(),
    page: z.strictObject({
        claims: z.array(replicatedClaimSchema),
        /** Position of the next page; undefined on the last one. */
        next: z.number().optional(),
        /** Timestamp of a key; the replying holder has every claim of its seat whose key is not older. */
        completeSinceMs: z.number(),
    }).optional(),
});

const handoverSchema = z.strictObject({
    claims: z.array(replicatedClaimSchema),
    /** Sent with the last page to a successor: the state that it inherits. */
    seat: z.strictObject({
        id: brandedString<SeatId>(),
        epoch: z.number().int(),
        /** Hash of the seats and zones of the roster, which determine the holder seats of each key. */
        layout: z.string(),
        /** Timestamp of a key; the leaving holder has every claim of its seat whose key is not older. */
        completeSinceMs: z.number(),
        /** Epochs below which the leaving holder refuses records. */
        fences: z.array(seatEpochSchema),
    }).optional(),
});

export type SeatEpoch = z.output<typeof seatEpochSchema>;
export type RecordRequest = z.output<typeof recordSchema>;
export type RecordReply = z.output<typeof recordReplySchema>;
export type ResolveRequest = z.output<typeof resolveSchema>;
export type ReplicatedClaim = z.output<typeof replicatedClaimSchema>;
export type SyncRequest = z.output<typeof syncSchema>;
export type SyncReply = z.output<typeof syncReplySchema>;
export type HandoverRequest = z.output<typeof handoverSchema>;
const releaseSchema = z.strictObject(claimKeyFields);
export type ReleaseRequest = z.output<typeof releaseSchema>;

const method = <Request, Reply>(
    name: string,
    request: z.ZodType<Request>,
    reply: z.ZodType<Reply>,
): PeerMethod<Request, Reply> => ({ name, request, reply });

const doneSchema = z.strictObject({ isDone: z.boolean() });
export type DoneReply = z.output<typeof doneSchema>;

/** Records a claim before dispatch. */
export const claimRecord = method("claim.record", recordSchema, recordReplySchema);
/** Stores the outcome of a claim. */
export const claimResolve = method("claim.resolve", resolveSchema, doneSchema);
/** Releases a claim and leaves a tombstone. */
export const claimRelease = method("claim.release", releaseSchema, doneSchema);
/**
 * Requests the claims that the receiver's seat shares with the requester's seat. From its first page on, the receiver
 * refuses records whose view has an older epoch of the requester's seat.
 */
export const claimSync = method("claim.sync", syncSchema, syncReplySchema);
/** Pushes claims during a graceful shutdown. */
export const claimHandover = method("claim.handover", handoverSchema, doneSchema);
