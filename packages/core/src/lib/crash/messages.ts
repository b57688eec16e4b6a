/** Messages about requests that crash upstreams. */
import * as z from "zod";
import type { PeerMethod } from "../ports.js";
import type { ServiceId, UpstreamId } from "../types.js";
import type { Fingerprint } from "./fingerprint.js";

const fingerprint = z.string().length(32).transform(text => text as Fingerprint);
const upstream = z.string().min(1).max(200).transform(text => text as UpstreamId);

const suspicionSchema = z.strictObject({
    fingerprint,
    /** Upstreams that crashed while they ran the request, each once. */
    crashed: z.array(upstream).max(10),
    /** How long ago the newest crash was. */
    ageMs: z.number().min(0),
    /** How often an operator has lifted the quarantine; crashes count from the newest lift on. */
    lifts: z.number().int().min(0),
});

/** What one instance knows of one request. */
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

/** Spreads suspicions to all instances. */
export const suspectMethod: PeerMethod<z.output<typeof suspectSchema>, void> = {
    name: "crash.suspect",
    request: suspectSchema,
    reply: emptySchema,
};

/** Says that a suspect has completed. */
export const clearMethod: PeerMethod<z.output<typeof clearSchema>, void> = {
    name: "crash.clear",
    request: clearSchema,
    reply: emptySchema,
};

/** Asks the home of a service for the right to run a suspect on an upstream. */
export const permitMethod: PeerMethod<z.output<typeof permitSchema>, { isGranted: boolean; }> = {
    name: "crash.permit",
    request: permitSchema,
    reply: z.strictObject({ isGranted: z.boolean() }),
};

/** Gives a permit back. */
export const releasePermitMethod: PeerMethod<z.output<typeof permitSchema>, void> = {
    name: "crash.return",
    request: permitSchema,
    reply: emptySchema,
};

/** Asks a peer for all it knows; an instance that starts does so. */
export const syncMethod: PeerMethod<Record<string, never>, z.output<typeof suspectSchema>> = {
    name: "crash.sync",
    request: z.strictObject({}),
    reply: suspectSchema,
};
