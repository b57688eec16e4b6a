/** Messages about requests that crash upstreams. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { ServiceId, UpstreamId } from "../types.js";
import type { Fingerprint } from "./fingerprint.js";

const fingerprint = z.string().length(32).transform(text => text as Fingerprint);
const upstream = z.string().min(1).max(200).transform(text => text as UpstreamId);

const suspicionSchema = z.strictObject({
    fingerprint,
    /**
     * Crashes of upstreams that ran the request, by upstream id. A later crash of the same upstream has its id with a
     * suffix.
     */
    crashed: z.array(upstream).max(10),
    /** Time since the newest crash. */
    ageMs: z.number().min(0),
    /** Number of times an operator has lifted the quarantine; only crashes since the last time count. */
    lifts: z.number().int().min(0),
});

/** Crashes attributed to one request, as recorded by one instance. */
export type Suspicion = z.output<typeof suspicionSchema>;

const suspectSchema = z.strictObject({ suspicions: z.array(suspicionSchema).max(1_000) });
const clearSchema = z.strictObject({ fingerprint });
const permitSchema = z.strictObject({
    service: z.string().min(1).max(64).transform(text => text as ServiceId),
    upstream,
    fingerprint,
    holdMs: z.number().min(0).max(600_000),
});
const emptySchema = z.void().or(z.null()).or(z.undefined()).transform(() => undefined);

/** Broadcasts suspicions to all instances. */
export const suspectMethod: PeerMethod<z.output<typeof suspectSchema>, void> = {
    name: "crash.suspect",
    request: suspectSchema,
    reply: emptySchema,
};

/** Clears the suspicion against a request to which an upstream has responded. */
export const clearMethod: PeerMethod<z.output<typeof clearSchema>, void> = {
    name: "crash.clear",
    request: clearSchema,
    reply: emptySchema,
};

/** Requests a permit from the coordinator of a service to run a suspect on an upstream. */
export const permitMethod: PeerMethod<z.output<typeof permitSchema>, { isGranted: boolean; }> = {
    name: "crash.permit",
    request: permitSchema,
    reply: z.strictObject({ isGranted: z.boolean() }),
};

/** Releases a permit. */
export const releasePermitMethod: PeerMethod<z.output<typeof permitSchema>, void> = {
    name: "crash.return",
    request: permitSchema,
    reply: emptySchema,
};

/** Fetches all suspicions of a peer; sent by an instance at its start. */
export const syncMethod: PeerMethod<Record<string, never>, z.output<typeof suspectSchema>> = {
    name: "crash.sync",
    request: z.strictObject({}),
    reply: suspectSchema,
};
