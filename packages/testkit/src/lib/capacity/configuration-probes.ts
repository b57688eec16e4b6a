/** Probes of the cost of organisations and routes of the configuration at one instance. */
import { measureCheck, measureKeys, measureRoutes } from "@sniperoad/operator/measurements";
import type { Probe } from "./probe.js";
import { fullSize } from "./sizes.js";

const requests = 2_000;

/**
 * Releases the last sample, which the engine may keep reachable until the function runs again and would then free
 * during the next sample. Without this, the measured memory of an organisation was 166 or 370 bytes from run to run.
 */
const release = (): void => {
    measureKeys(1, 1);
    measureRoutes(1, 1);
};

const keys: Probe = {
    mechanism: "key index and authenticator: one organisation with one key",
    per: "organisation",
    sizes: [1_000, 4_000, 12_000],
    fullSize: fullSize.organisations,
    outputs: [
        { name: "authentication CPU a request", unit: "us" },
        { name: "key index build CPU", unit: "us" },
        { name: "key index memory", unit: "bytes" },
        { name: "organisations memory", unit: "bytes" },
    ],
    sample: async size => {
        release();
        const { authenticateMicros, buildMicros, indexBytes, configurationBytes } = measureKeys(size, requests);
        return [authenticateMicros, buildMicros, indexBytes, configurationBytes];
    },
};

const routes: Probe = {
    mechanism: "route table: a tree of path segments",
    per: "route",
    sizes: [100, 1_000, 4_000],
    fullSize: fullSize.routes,
    outputs: [
        { name: "route match CPU a request", unit: "us" },
        { name: "route table build CPU", unit: "us" },
        { name: "route table memory", unit: "bytes" },
    ],
    sample: async size => {
        release();
        const { matchMicros, buildMicros, heapBytes } = measureRoutes(size, requests);
        return [matchMicros, buildMicros, heapBytes];
    },
};

const checkOf = (name: string, per: string, full: number, split: (size: number) => [number, number]): Probe => ({
    mechanism: "configuration object: JSON of the platform value and its check at each instance",
    per,
    sizes: [200, 1_000, 2_500],
    fullSize: full,
    outputs: [
        { name: `configuration check CPU, ${name}`, unit: "us" },
        { name: `configuration object bytes, ${name}`, unit: "bytes" },
    ],
    sample: async size => {
        const { micros, bytes } = measureCheck(...split(size));
        return [micros, bytes];
    },
});

export const configurationProbes: readonly Probe[] = [
    keys,
    routes,
    checkOf("organisations", "organisation", fullSize.organisations, size => [size, 100]),
    checkOf("routes", "route", fullSize.routes, size => [100, size]),
];
