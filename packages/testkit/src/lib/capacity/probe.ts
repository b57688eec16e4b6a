/** Runs measurements at several sizes in repeated rounds. */
import type { CostRow, CostUnit } from "./cost-table.js";
import { fitRepetitions } from "./line-fit.js";
import type { MeasuredLine, Point } from "./line-fit.js";

/** One measured quantity of a probe. */
export interface ProbeOutput {
    readonly name: string;
    readonly unit: CostUnit;
}

/** A measurement of one or more outputs at several sizes. */
export interface Probe {
    readonly mechanism: string;
    readonly per: string;
    readonly sizes: readonly number[];
    readonly fullSize: number;
    readonly outputs: readonly ProbeOutput[];
    /** Returns the values of the outputs at a size, in their order. */
    readonly sample: (size: number) => Promise<readonly number[]>;
}

/** CPU time of this process in microseconds, which other processes affect less than wall time. */
export const cpuMicros = (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
};

/** Time in which helper threads of the engine sweep the heap after a collection; their CPU time would be counted. */
const sweepMs = 20;

/** Collects the garbage of earlier measurements if `--expose-gc` is set, and waits until the heap is swept. */
export const collectGarbage = async (): Promise<void> => {
    globalThis.gc?.();
    await new Promise(resolve => setTimeout(resolve, sweepMs));
};

/** Measures the CPU time of some work, without that for the garbage of earlier measurements. */
export const measureCpu = async (work: () => void | Promise<void>): Promise<number> => {
    await collectGarbage();
    const start = cpuMicros();
    await work();
    return cpuMicros() - start;
};

/** Bytes in use after a garbage collection; inexact without `--expose-gc`. */
export const heapBytes = async (): Promise<number> => {
    // Pending promise reactions keep objects of earlier work alive; the second collection frees what finalizers kept.
    await new Promise(resolve => setImmediate(resolve));
    globalThis.gc?.();
    await new Promise(resolve => setImmediate(resolve));
    globalThis.gc?.();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

/**
 * Minimum noise of CPU time, as a share of the slope. Repetitions of one run are only minutes apart, and on a shared
 * machine CPU time varies more between runs: the slope of digests over upstreams was 857 us in one run and 1,490 us in
 * another.
 */
const sharedMachineShare = 0.5;

const withMachineNoise = (unit: CostUnit, line: MeasuredLine): MeasuredLine =>
    unit === "us" ? { ...line, noise: Math.max(line.noise, Math.abs(line.slope) * sharedMachineShare) } : line;

/**
 * Runs all probes in rounds, so that the repetitions of a probe are spread over time and over different states of the
 * machine. A first sample of the smallest size warms up the compiler and is discarded.
 */
export const runProbes = async (probes: readonly Probe[], rounds: number): Promise<readonly CostRow[]> => {
    const points = new Map<string, Point[][]>();
    for (const { sizes, sample } of probes) {
        await sample(sizes[0]!);
    }
    for (let round = 0; round < rounds; round++) {
        for (const { sizes, outputs, sample } of probes) {
            const taken = outputs.map((): Point[] => []);
            for (const size of sizes) {
                const values = await sample(size);
                values.forEach((value, index) => taken[index]!.push({ size, value }));
            }
            outputs.forEach(({ name }, index) => points.set(name, [...points.get(name) ?? [], taken[index]!]));
        }
    }
    return probes.flatMap(({ outputs, sample: _, ...rest }) =>
        outputs.map(({ name, unit }) => ({
            ...rest,
            name,
            unit,
            line: withMachineNoise(unit, fitRepetitions(points.get(name)!)),
        }))
    );
};
