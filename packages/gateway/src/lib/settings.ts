/** Settings of an instance: JSON with comments, checked. */
import { id, InvalidConfigurationError } from "@sniperoad/core";
import type { ZoneId } from "@sniperoad/core";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import * as z from "zod";

const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, "use host:port with an IP number");
const positive = z.number().positive();

const settingsSchema = z.object({
    instance: z.string().min(1),
    zone: z.string().min(1).transform(text => id<ZoneId>(text)),
    /** Where callers send requests. */
    callerAddress: address,
    /** Where callers ask which instances to use. */
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
    /** Longest time for which callers may keep a directory answer. */
    directoryTtlMaxSeconds: positive,
    /** Time from the stop signal to the end of the process. */
    stopGraceSeconds: positive,
    /** Within this time a change of the configuration is in force and a leaving upstream gets no more requests. */
    configApplyMs: positive,
    /** Whether requests with a key are refused while the instance cannot confirm its configuration. */
    refuseWhenUnconfirmed: z.boolean(),
    /** Extra attempts for each request, over the fleet. */
    retryShare: z.number().min(0),
    /** Extra attempts that the fleet may make in each window beyond the share. */
    retryBurst: z.number().min(0),
    /** Window over which the rate of an organisation is counted. */
    rateWindowSeconds: positive,
    /** Share by which an organisation's count may exceed its rate in a window. */
    rateOverage: z.number().min(0),
    /** Requests by which the count may exceed it besides. */
    rateSlack: z.number().min(0),
    /** Share of the upstreams of a service that must get requests while some of its requests fail. */
    floorShare: z.number().min(0).max(1),
});

/** Checked settings. */
export type GatewaySettings = z.output<typeof settingsSchema>;

/**
 * Reads settings from JSON with comments. Fields that are not known are ignored, so that the file of a newer
 * release can be read.
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
