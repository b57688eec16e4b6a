/** Reads the status of a fleet: on which instances the accepted configuration is active. */
import {
    type InstanceId,
    type InstanceInfo,
    type InstanceListPort,
    instanceName,
    type PlatformPort,
    PlatformUnavailableError,
    readChangeBase,
    withdrawalsObject,
    withdrawalsValueSchema,
} from "@sniperoad/core";
import * as z from "zod";
import { sendAdminRequest } from "./instance-admin.js";

/** Schema of the response to `GET /admin/status`. */
export const instanceStatusSchema = z.object({
    instance: z.string().transform(text => text as InstanceId),
    configRevision: z.number().int().min(0),
    rosterVersion: z.number().int().min(0),
    isCurrent: z.boolean(),
    /** Size of the withdrawal set. */
    withdrawals: z.number().int().min(0),
});

export type InstanceStatus = z.output<typeof instanceStatusSchema>;

/** An instance on which the accepted configuration is not known to be active. */
export interface UnconfirmedInstance {
    readonly instance: string;
    readonly address: string;
    readonly reason: string;
}

/** Result of {@link readFleetStatus}. */
export interface FleetStatus {
    /** Undefined if the platform has no configuration or could not be read. */
    readonly acceptedRevision: number | undefined;
    /** Why the platform could not be read. */
    readonly platformProblem: string | undefined;
    /** Number of instances queried. */
    readonly instances: number;
    /** Number of instances on which the newest known revision is active. */
    readonly inForce: number;
    readonly unconfirmed: readonly UnconfirmedInstance[];
    /** Number of withdrawn keys on the platform or, if it could not be read, the maximum held by an instance. */
    readonly withdrawals: number;
    /** Number of instances whose withdrawal set has at least {@link withdrawals} keys. */
    readonly withdrawalsHeldBy: number;
    /** Distinct roster versions of the instances, in ascending order. */
    readonly rosterVersions: readonly number[];
}

/** Options of {@link readFleetStatus}. */
export interface FleetStatusOptions {
    readonly platform: PlatformPort & InstanceListPort;
    /** `host:port` of additional instances to query; the only ones if the platform is unavailable. */
    readonly addresses?: readonly string[];
    /** Timeout of a request to one instance; default 2,000. */
    readonly timeoutMs?: number;
}

const defaultTimeoutMs = 2_000;
/** Maximum number of instances queried concurrently; limits the open connections for a large fleet. */
const maxConcurrentRequests = 64;

/**
 * Reads the accepted revision from the platform and the active revision from each instance.
 *
 * @example
 * const status = await readFleetStatus({ platform });
 * console.log(`in force on ${status.inForce} of ${status.instances}`);
 */
export const readFleetStatus = async (options: FleetStatusOptions): Promise<FleetStatus> => {
    const platformState = await readPlatform(options.platform);
    const listed = platformState.instances.map(({ id, address }) => ({ instance: id as string, address }));
    const extraAddresses = (options.addresses ?? []).filter(address =>
        !listed.some(entry => entry.address === address)
    );
    const targets = [...listed, ...extraAddresses.map(address => ({ instance: address, address }))];
    const results = await mapConcurrently(targets, async target => ({
        ...target,
        answer: await readInstanceStatus(target.address, options.timeoutMs ?? defaultTimeoutMs),
    }));
    const statuses = results.flatMap(({ answer }) => typeof answer === "string" ? [] : [answer]);
    const newest = Math.max(platformState.revision ?? 0, ...statuses.map(status => status.configRevision));
    const withdrawals = platformState.withdrawals ?? Math.max(0, ...statuses.map(status => status.withdrawals));
    const unconfirmed = results.flatMap(({ instance, address, answer }) => {
        const reason = typeof answer === "string" ? answer : unconfirmedReason(instance, answer, newest);
        return reason === undefined ? [] : [{ instance, address, reason }];
    });
    return {
        acceptedRevision: platformState.revision,
        platformProblem: platformState.problem,
        instances: targets.length,
        inForce: targets.length - unconfirmed.length,
        unconfirmed,
        withdrawals,
        withdrawalsHeldBy: statuses.filter(status => status.withdrawals >= withdrawals).length,
        rosterVersions: [...new Set(statuses.map(status => status.rosterVersion))].sort((left, right) => left - right),
    };
};

interface PlatformState {
    readonly revision: number | undefined;
    readonly withdrawals: number | undefined;
    readonly instances: readonly InstanceInfo[];
    readonly problem: string | undefined;
}

const readPlatform = async (platform: PlatformPort & InstanceListPort): Promise<PlatformState> => {
    try {
        const [base, withdrawn, listing] = await Promise.all([
            readChangeBase(platform),
            platform.get(withdrawalsObject),
            platform.list(),
        ]);
        const parsed = withdrawalsValueSchema.safeParse(withdrawn?.value ?? { keys: [] });
        return {
            revision: base.config?.revision,
            withdrawals: parsed.data?.keys.length,
            instances: listing.instances,
            problem: undefined,
        };
    }
    catch (error) {
        if (error instanceof PlatformUnavailableError) {
            return { revision: undefined, withdrawals: undefined, instances: [], problem: error.message };
        }
        throw error;
    }
};

/** Returns the status of an instance, or the reason why it could not be read. */
const readInstanceStatus = async (address: string, timeoutMs: number): Promise<InstanceStatus | string> => {
    try {
        return await sendAdminRequest(address, "GET", "/admin/status", instanceStatusSchema, { timeoutMs });
    }
    catch (error) {
        return (error as Error).message;
    }
};

/** Why an instance that responded is not confirmed; undefined if it is confirmed. */
const unconfirmedReason = (listedAs: string, status: InstanceStatus, newest: number): string | undefined => {
    if (status.configRevision < newest) {
        return `holds revision ${status.configRevision}, not ${newest}`;
    }
    if (!status.isCurrent) {
        return "is not current and refuses guarded work";
    }
    // The list may be out of date, so that another process uses the address. The platform lists an instance by its
    // name, and the instance responds with the id of its process.
    return listedAs.includes(":") || listedAs === status.instance || listedAs === instanceName(status.instance)
        ? undefined
        : `the address is now used by ${status.instance}; the instance list lags`;
};

const mapConcurrently = async <T, R>(items: readonly T[], work: (item: T) => Promise<R>): Promise<readonly R[]> => {
    const results: R[] = [];
    let next = 0;
    const worker = async () => {
        while (next < items.length) {
            const index = next++;
            results[index] = await work(items[index]!);
        }
    };
    await Promise.all(Array.from({ length: Math.min(maxConcurrentRequests, items.length) }, worker));
    return results;
};
