/** Configuration of the demo: a small PawTrace fleet. */
import { checkFleetConfig } from "@sniperoad/core";
import type { FleetConfig } from "@sniperoad/core";
import { systemSha256 } from "@sniperoad/daemon";

/** Keys of the demo's organisations, as their callers send them. */
export const demoKeys = {
    shelters: "shelters-1.demo-secret-of-the-shelters",
    clinics: "clinics-1.demo-secret-of-the-clinics",
    members: "members-1.demo-secret-of-the-members",
} as const;

const createOrganisation = (name: keyof typeof demoKeys, ratePerSecond: number, burst: number) => {
    const [keyId, secret] = demoKeys[name].split(".");
    return { id: name, keys: [{ id: keyId, secretSha256: systemSha256(secret!) }], ratePerSecond, burst };
};

/**
 * The demo's configuration for a number of seats.
 *
 * @example
 * demoConfig(5).services.length; // 2
 */
export const demoConfig = (seats: number): FleetConfig => {
    const checked = checkFleetConfig({
        revision: 1,
        operations: ["demo"],
        seats,
        organisations: [
            createOrganisation("shelters", 400, 400),
            createOrganisation("clinics", 100, 100),
            createOrganisation("members", 20, 20),
        ],
        services: [
            { id: "sightings-svc", slotsPerUpstream: 3, floorSlots: 6 },
            { id: "alerts-svc", slotsPerUpstream: 3, floorSlots: 6 },
        ],
        routes: [
            {
                id: "sighting-lookup",
                method: "GET",
                path: "/sightings/:id",
                service: "sightings-svc",
                idempotent: true,
                timeoutMs: 3_000,
            },
            {
                id: "found-report",
                method: "POST",
                path: "/reports",
                service: "alerts-svc",
                idempotent: false,
                timeoutMs: 3_000,
            },
        ],
    });
    if (checked.kind === "invalid") {
        throw new Error(`the demo's configuration is invalid: ${JSON.stringify(checked.problems)}`);
    }
    return checked.value;
};
