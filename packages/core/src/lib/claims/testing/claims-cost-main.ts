/**
 * Prints the cost of claims at the holders of a simulated fleet. Run `node --expose-gc packages/core/dist/lib/claims/testing/claims-cost-main.js`.
 */
import { defaultClaimOptions } from "../options.js";
import { measureClaims } from "./claims-cost.js";

const seats = 44;

const { storedClaims, heapBytesPerClaim, recordMicros, resolveMicros, messages } = await measureClaims(30_000, seats);
console.log(
    `kept=${storedClaims} heapBytesPerClaim=${heapBytesPerClaim.toFixed(0)} (keys and ids shared with the generator)`,
);
console.log(`recordCpuUs=${recordMicros.toFixed(1)} resolveCpuUs=${resolveMicros.toFixed(1)} seats=${seats}`);
console.log(`messages of 100 claims: ${[...messages].map(([name, count]) => `${name}=${count}`).join(" ")}`);
console.log(`limits: claims=${defaultClaimOptions.maxClaims} answerBytes=${defaultClaimOptions.maxResponseBytes}`);
