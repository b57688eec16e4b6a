/** Settings of an instance, validated from JSON with comments. */
import { id, InvalidConfigurationError } from "@sniperoad/core";
import type { ZoneId } from "@sniperoad/core";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import * as z from "zod";

const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, "use host:port with an IP address");
const positive = z.number().positive();

const settingsSchema = z.object({
    instance: z.string().min(1),
    zone: z.string().min(1).transform(text => id<ZoneId>(text)),
    /** Where callers send requests. */
    callerAddress: address,
    /** Where the directory of instances is served to callers. */
    directoryAddress: address,
    /** Where the readiness check is served. */
    readyAddress: address,
    /** Where the metrics are served. */
    metricsAddress: address,
    /** Where other instances send messages. */
    peerAddress: address,
    /** Peer addresses of instances that may be up; some may be stale. */
    seedPeers: z.array(address),
    /** Address of the object store. */
    storeAddress: address,
    /** Maximum time for which callers may cache a directory response. */
    directoryTtlMaxSeconds: positive,
    /** Maximum time from the stop signal to the exit of the process. */
    stopGraceSeconds: positive,
    /** Time within which a configuration change must be in force and a leaving upstream must get no more requests. */
    configApplyMs: positive,
    /** Whether to refuse requests with a key while the instance cannot confirm its configuration. */
    refuseWhenUnconfirmed: z.boolean(),
    /** Number of additional attempts allowed per request, across the fleet. */
    retryShare: z.number().min(0),
    /** Number of additional attempts that the fleet may make per window beyond the share. */
    retryBurst: z.number().min(0),
    /** Window over which additional attempts are counted; a change applies only to services first seen afterwards. */
    retryWindowSeconds: positive.default(10),
    /** Hedged requests as a share of a service's requests of the last 10 s; default: only the retry budget limits them. */
    hedgeShare: z.number().min(0).optional(),
    /** Window over which the rate of an organisation is counted. */
    rateWindowSeconds: positive,
    /** Fraction by which an organisation's count in a window may exceed the limit of its rate and burst. */
    rateOverage: z.number().min(0),
    /** Number of requests by which the count may exceed this limit in addition. */
    rateSlack: z.number().min(0),
    /** Bandwidth of the machine's link. */
    linkMbps: positive.default(1_000),
    /** Share of the link that transfers of the configuration and the upstream list to other instances may take. */
    transferLinkShare: positive.max(1).default(0.4),
    /** Memory above which the platform ends the process. */
    memoryMb: positive.default(350),
    /** Maximum number of open file descriptors of the process; undefined or null: no limit. */
    maxDescriptors: positive.nullish().transform(value => value ?? undefined),
    /** Share of a processor core that the machine provides. */
    processorShare: positive.default(1),
    /** Speed of that core relative to a usual one. */
    processorSpeed: positive.default(1),
    /** Share of a service's upstreams that must receive requests even while some of its requests fail. */
    floorShare: z.number().min(0).max(1),
    /**
     * Share of the tightest latency objective of a service for which requests may wait at its upstreams on average; more
     * are rejected by rank and organisation. 0: requests are rejected by their number for each slot only.
     */
    admissionWaitShare: z.number().min(0).max(1).default(0),
    /** Time within which the evacuation of a zone must be in force; without it, evacuations are not read. */
    zoneEvacuationMs: positive.nullish().transform(value => value ?? undefined),
    /** Multiple of the rate that a cold upstream tolerates by which its requests of any second are bounded. */
    warmupOverage: positive.nullish().transform(value => value ?? 1),
    /** Number of requests by which the requests of a second may exceed this bound in addition. */
    warmupSlack: z.number().min(0).nullish().transform(value => value ?? 0),
});

/** Validated settings. */
export type GatewaySettings = z.output<typeof settingsSchema>;

/**
 * Parses settings from JSON with comments. Unknown fields are ignored, so that files for newer releases are accepted.
 *
 * @param fileName names the file in error messages
 * @throws InvalidConfigurationError that names the file, the field and the remedy
 * @example
 * const settings = parseGatewaySettings(readFileSync(path, "utf8"), path);
 */
export const parseGatewaySettings = (text: string, fileName: string): GatewaySettings => {
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    const syntax = errors[0];
    if (syntax !== undefined) {
        const line = text.slice(0, syntax.offset).split("\n").length;
        throw new InvalidConfigurationError(
            `${fileName}, line ${line}: ${printParseErrorCode(syntax.error)}; write JSON with comments`,
        );
    }
    const result = settingsSchema.safeParse(value);
    if (!result.success) {
        const problems = result.error.issues.map(issue => `${issue.path.join(".") || "(file)"}: ${issue.message}`);
        throw new InvalidConfigurationError(`${fileName}: ${problems.join("; ")}; correct these fields`);
    }
    return result.data;
};
