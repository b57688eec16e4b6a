/** The message by which instances tell each other that they live, and what they know. */
import type { Branded, InstanceId, OrganisationId, UpstreamId, ZoneId } from "@sniperoad/core";
import * as z from "zod";

/** One collection of the store as an instance holds it. */
export interface FeedState {
    readonly revision: number;
    /** Since the store last confirmed the revision as the newest, by any reader; undefined: never. */
    readonly confirmedAgeMs: number | undefined;
    /** Whether the sender reads this collection from the store itself. */
    readonly isReading: boolean;
    /** Since the sender's own last successful read, or since it began to read. */
    readonly readAgeMs: number;
}

/** Requests of an organisation since the start of the sender's process. */
export interface OrganisationUsage {
    readonly organisation: OrganisationId;
    /** Sent to upstreams, repeats included. */
    readonly admitted: number;
    /** Asked for by callers. */
    readonly offered: number;
}

/**
 * What a request showed of its upstream: an answer, a failure that the upstream itself answered, or silence, which may
 * be the path's fault.
 */
export type OutcomeKind = "success" | "failure" | "silence";

/** An outcome as a beat reports it. */
export interface ReportedOutcome {
    /** Rises by one with each outcome of the sender. */
    readonly sequence: number;
    readonly upstream: UpstreamId;
    readonly kind: OutcomeKind;
}

/** A request that was in flight when the process of an upstream ended. */
export interface ReportedCrash {
    readonly sequence: number;
    readonly fingerprint: string;
    readonly upstream: UpstreamId;
}

/** Requests in flight from the sender to an upstream. */
export interface ReportedInFlight {
    readonly upstream: UpstreamId;
    readonly count: number;
}

/** A beat. */
export interface Beat {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    readonly callerAddress: string;
    readonly peerAddress: string;
    /** Rises by one with each beat of the sender; a relayed beat may arrive twice. */
    readonly sequence: number;
    /** Whether it takes requests of callers. */
    readonly isReady: boolean;
    readonly isLeaving: boolean;
    readonly config: FeedState;
    readonly upstreams: FeedState;
    readonly usage: readonly OrganisationUsage[];
    readonly outcomes: readonly ReportedOutcome[];
    readonly crashes: readonly ReportedCrash[];
    readonly inFlight: readonly ReportedInFlight[];
}

const branded = <T extends Branded<string>>() => z.string().max(200).transform(text => text as T);
const count = z.number().int().min(0);
const address = z.string().max(64);
const wholeMs = z.number().int().min(0);

/** Most entries of one list in a beat; the rest waits for the next beat. */
export const maxListEntries = 400;

const feedWire = z.tuple([count, wholeMs.nullable(), z.boolean(), wholeMs]).transform(
    ([revision, confirmedAgeMs, isReading, readAgeMs]): FeedState => ({
        revision,
        confirmedAgeMs: confirmedAgeMs ?? undefined,
        isReading,
        readAgeMs,
    }),
);
const usageWire = z.tuple([branded<OrganisationId>(), count, count]).transform(
    ([organisation, admitted, offered]): OrganisationUsage => ({ organisation, admitted, offered }),
);
/** Kinds of outcomes in the order of their numbers on the wire. */
const outcomeKinds: readonly OutcomeKind[] = ["success", "failure", "silence"];
const outcomeWire = z.tuple([count, branded<UpstreamId>(), z.number().int().min(0).max(2)]).transform(
    ([sequence, upstream, kind]): ReportedOutcome => ({ sequence, upstream, kind: outcomeKinds[kind]! }),
);
const crashWire = z.tuple([count, address, branded<UpstreamId>()]).transform(
    ([sequence, fingerprint, upstream]): ReportedCrash => ({ sequence, fingerprint, upstream }),
);
const inFlightWire = z.tuple([branded<UpstreamId>(), count]).transform(
    ([upstream, inFlight]): ReportedInFlight => ({ upstream, count: inFlight }),
);

/** The wire form: positions in place of names, since beats are most of the traffic between instances. */
export const beatWire = z.tuple([
    branded<InstanceId>(),
    branded<ZoneId>(),
    address,
    address,
    count,
    z.boolean(),
    z.boolean(),
    feedWire,
    feedWire,
    z.array(usageWire).max(maxListEntries),
    z.array(outcomeWire).max(maxListEntries),
    z.array(crashWire).max(maxListEntries),
    z.array(inFlightWire).max(maxListEntries),
]).transform((
    [id, zone, callerAddress, peerAddress, sequence, isReady, isLeaving, config, upstreams, ...lists],
): Beat => {
    const [usage, outcomes, crashes, inFlight] = lists;
    return {
        id,
        zone,
        callerAddress,
        peerAddress,
        sequence,
        isReady,
        isLeaving,
        config,
        upstreams,
        usage,
        outcomes,
        crashes,
        inFlight,
    };
});

const feedToWire = (feed: FeedState) => [
    feed.revision,
    feed.confirmedAgeMs === undefined ? null : Math.round(feed.confirmedAgeMs),
    feed.isReading,
    Math.round(feed.readAgeMs),
];

/** The wire form of a beat. */
export const beatToWire = (beat: Beat): unknown => [
    beat.id,
    beat.zone,
    beat.callerAddress,
    beat.peerAddress,
    beat.sequence,
    beat.isReady,
    beat.isLeaving,
    feedToWire(beat.config),
    feedToWire(beat.upstreams),
    beat.usage.slice(0, maxListEntries).map(({ organisation, admitted, offered }) => [organisation, admitted, offered]),
    beat.outcomes.slice(0, maxListEntries).map(({ sequence, upstream, kind }) => [
        sequence,
        upstream,
        outcomeKinds.indexOf(kind),
    ]),
    beat.crashes.slice(0, maxListEntries).map(({ sequence, fingerprint, upstream }) => [
        sequence,
        fingerprint,
        upstream,
    ]),
    beat.inFlight.slice(0, maxListEntries).map(entry => [entry.upstream, entry.count]),
];
