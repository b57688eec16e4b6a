/** System clock, random numbers and hash function. */
import type { Clock, Random, Sha256 } from "@sniperoad/core";
import { createHash, randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";

/** Clock of the operating system. */
export const systemClock: Clock = {
    now: () => new Date(),
    // performance.now reads CLOCK_MONOTONIC, which advances while the process is stopped.
    monotonicMs: () => performance.now(),
    after: (delayMs, task) => {
        const timer = setTimeout(task, delayMs);
        return { cancel: () => clearTimeout(timer) };
    },
};

const randomWordBytes = 4;
/** Random bytes are requested in blocks; a system call per number took a quarter of an idle instance's CPU time. */
const randomPoolBytes = 1_024 * randomWordBytes;
const randomPool = { bytes: Buffer.alloc(0), used: 0 };

/** Random numbers that are suitable for identifiers. */
export const systemRandom: Random = () => {
    if (randomPool.used >= randomPool.bytes.length) {
        randomPool.bytes = randomBytes(randomPoolBytes);
        randomPool.used = 0;
    }
    const word = randomPool.bytes.readUInt32LE(randomPool.used);
    randomPool.used += randomWordBytes;
    return word / 0x1_0000_0000;
};

/** SHA-256 with node:crypto. */
export const systemSha256: Sha256 = data => createHash("sha256").update(data).digest("hex");
