/**
 * Prints the cost of route matching, authentication and the configuration object. Run it after a build:
 * `node --expose-gc packages/operator/dist/lib/measurements/main.js`
 */
import {
    measureKeys,
    measureObject,
    measureRoutes,
    projectedOrganisations,
    projectedRoutes,
} from "./configuration-cost.js";

const print = (name: string, value: string): void => console.log(`${name}: ${value}`);
const megabytes = (bytes: number): string => (bytes / 1e6).toFixed(1);
const milliseconds = (micros: number): string => (micros / 1_000).toFixed(0);

for (const count of [10, 1_000, projectedRoutes]) {
    const { matchMicros, missMicros, buildMicros, heapBytes } = measureRoutes(count);
    print(
        `route match, ${count} routes`,
        `${matchMicros.toFixed(2)} us, miss ${missMicros.toFixed(2)} us, build ${milliseconds(buildMicros)} ms, `
            + `tree ${megabytes(heapBytes)} MB`,
    );
}
for (const count of [8, 5_000, projectedOrganisations]) {
    const { authenticateMicros, checkMicros, buildMicros, indexBytes, configurationBytes } = measureKeys(count);
    print(
        `authentication, ${count} organisations`,
        `${authenticateMicros.toFixed(2)} us, check before dispatch ${checkMicros.toFixed(2)} us, `
            + `index build ${milliseconds(buildMicros)} ms, index ${megabytes(indexBytes)} MB `
            + `besides the configuration's ${megabytes(configurationBytes)} MB`,
    );
}
const { examples, bytesPerOrganisation, bytesPerRoute, checkedBytes, checkMicros } = measureObject();
examples.forEach(({ name, bytes, operationBytes }) =>
    print(`object of ${name}`, `${bytes} bytes, of which operations ${operationBytes}`)
);
print(
    "growth of the object",
    `${bytesPerOrganisation.toFixed(0)} bytes per organisation, ${bytesPerRoute.toFixed(0)} per route`,
);
const projected = projectedOrganisations * bytesPerOrganisation + projectedRoutes * bytesPerRoute;
print("object at the projected size", `${megabytes(projected)} MB extrapolated; the limit of a value is 1 MB`);
print(`validation of ${checkedBytes} bytes`, `${(checkMicros / 1_000).toFixed(1)} ms of the event loop`);
