/** Where a configuration is in force. */
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
import { instanceRequest } from "./instance-admin.js";

/** Answer of an instance to `GET /admin/status`. */
export const instanceStatusSchema = z.object({
    instance: z.string().transform(text => text as InstanceId),
    configRevision: z.number().int().min(0),
    rosterVersion: z.number().int().min(0),
    isCurrent: z.boolean(),
    /** Size of the withdrawal set. */
    withdrawals: z.number().int().min(0),
});

export type InstanceStatus = z.output<typeof instanceStatusSchema>;

/** An instance that is not known to have the accepted configuration in force. */
export interface UnconfirmedInstance {
    readonly instance: string;
    readonly address: string;
    readonly reason: string;
}

/** What {@link readFleetStatus} found. */
export interface FleetStatus {
    /** Undefined: the platform holds no configuration, or it could not be read. */
    readonly acceptedRevision: number | undefined;
    /** Why the platform could not be read. */
    readonly platformProblem: string | undefined;
    /** Instances that were asked. */
    readonly instances: number;
    readonly inForce: number;
    readonly unconfirmed: readonly UnconfirmedInstance[];
    /** Withdrawn keys on the platform or, without it, the most that an instance holds. */
    readonly withdrawals: number;
    readonly withdrawalsHeldBy: number;
    readonly rosterVersions: readonly number[];
}

/** Options of {@link readFleetStatus}. */
export interface FleetStatusOptions {
    readonly platform: PlatformPort & InstanceListPort;
    /** `host:port` of instances to ask besides the listed ones; the only ones while the platform is unavailable. */
    readonly addresses?: readonly string[];
    readonly timeoutMs?: number;
}

const defaultTimeoutMs = 2_000;
/** Instances asked at the same time; it bounds open connections with a large fleet. */
const parallelRequests = 64;

/**
 * Asks the platform for what was accepted and each instance for what it has in force.
 *
 * @example
 * const status = await readFleetStatus({ platform });
 * console.log(`in force on ${status.inForce} of ${status.instances}`);
 */
export const readFleetStatus = async (options: FleetStatusOptions): Promise<FleetStatus> => {
    const known = await readPlatform(options.platform);
    const listed = known.instances.map(({ id, address }) => ({ instance: id as string, address }));
    const extra = (options.addresses ?? []).filter(address => !listed.some(entry => entry.address === address));
    const targets = [...listed, ...extra.map(address => ({ instance: address, address }))];
    const answers = await inParallel(targets, async target => ({
        ...target,
        answer: await askInstance(target.address, options.timeoutMs ?? defaultTimeoutMs),
    }));
    const statuses = answers.flatMap(({ answer }) => typeof answer === "string" ? [] : [answer]);
    const newest = Math.max(known.revision ?? 0, ...statuses.map(status => status.configRevision));
    const withdrawals = known.withdrawals ?? Math.max(0, ...statuses.map(status => status.withdrawals));
    const unconfirmed = answers.flatMap(({ instance, address, answer }) => {
        const reason = typeof answer === "string" ? answer : notInForce(instance, answer, newest);
        return reason === undefined ? [] : [{ instance, address, reason }];
    });
    return {
        acceptedRevision: known.revision,
        platformProblem: known.problem,
        instances: targets.length,
        inForce: targets.length - unconfirmed.length,
        unconfirmed,
        withdrawals,
        withdrawalsHeldBy: statuses.filter(status => status.withdrawals >= withdrawals).length,
        rosterVersions: [...new Set(statuses.map(status => status.rosterVersion))].sort((left, right) => left - right),
    };
};

interface KnownByPlatform {
    readonly revision: number | undefined;
    readonly withdrawals: number | undefined;
    readonly instances: readonly InstanceInfo[];
    readonly problem: string | undefined;
}

const readPlatform = async (platform: PlatformPort & InstanceListPort): Promise<KnownByPlatform> => {
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

const askInstance = async (address: string, timeoutMs: number): Promise<InstanceStatus | string> => {
    try {
        return await instanceRequest(address, "GET", "/admin/status", instanceStatusSchema, { timeoutMs });
    }
    catch (error) {
        return (error as Error).message;
    }
};

/** Why an instance that answered does not count; undefined if it counts. */
const notInForce = (listedAs: string, status: InstanceStatus, newest: number): string | undefined => {
    if (status.configRevision < newest) {
        return `holds revision ${status.configRevision}, not ${newest}`;
    }
    if (!status.isCurrent) {
        return "is not current and refuses guarded work";
    }
    // The list lags: another process may have taken over the address. The platform lists an instance by its name, and
    // the instance answers with the id of its process.
    return listedAs.includes(":") || listedAs === status.instance || listedAs === instanceName(status.instance)
        ? undefined
        : `the address is now used by ${status.instance}; the instance list lags`;
};

const inParallel = async <T, R>(items: readonly T[], work: (item: T) => Promise<R>): Promise<readonly R[]> => {
    const results: R[] = [];
    let next = 0;
    const worker = async () => {
        while (next < items.length) {
            const index = next++;
            results[index] = await work(items[index]!);
        }
    };
    await Promise.all(Array.from({ length: Math.min(parallelRequests, items.length) }, worker));
    return results;
};
