/** PawTrace Alliance: lost-pet alerts. 44 instances in 3 zones of eu-north. */
import { fleet, organisation, route, service } from "../build.js";
import { exampleKeyConfig } from "./example-keys.js";

const exampleOrganisation = (name: string, ratePerSecond: number, burst?: number) =>
    organisation(name, { ratePerSecond, burst, keys: [exampleKeyConfig(name)] });

// 30 servers with 3 slots run about 3,000 lookups/s at 30 ms each. The rates add up to 2,420/s, so that every
// organisation can use its full rate at the same time while a fifth of the servers is unavailable.
const nordicShelters = exampleOrganisation("nordic-shelters", 900);
const chipRegistry = exampleOrganisation("chip-registry", 700);
const petInsurers = exampleOrganisation("pet-insurers", 450);
const cityPatrol = exampleOrganisation("city-patrol", 150);
const vetsUnited = exampleOrganisation("vets-united", 100, 150);
const ferryLines = exampleOrganisation("ferry-lines", 60, 90);
const farmWatch = exampleOrganisation("farm-watch", 40, 60);
const volunteers = exampleOrganisation("volunteers", 20, 40);

/** 30 servers with 3 slots; the floor is 60 % of 90 slots. */
const sightings = service("sightings-svc", { slotsPerUpstream: 3, floorSlots: 54 });
/** 6 servers with 3 slots; the floor is two thirds of 18 slots, because the work is urgent and the servers are few. */
const alerts = service("alerts-svc", { slotsPerUpstream: 3, floorSlots: 12 });

const lookups = { service: sightings, timeoutMs: 2_000 };
/** The work is urgent: after the timeout, callers repeat a request with its idempotency key instead of waiting. */
const urgent = { service: alerts, timeoutMs: 3_000 };

/** The configuration of PawTrace Alliance. */
export const pawtrace = fleet({
    seats: 44,
    organisations: [
        nordicShelters,
        chipRegistry,
        petInsurers,
        cityPatrol,
        vetsUnited,
        ferryLines,
        farmWatch,
        volunteers,
    ],
    services: [sightings, alerts],
    routes: [
        route("pet", "GET", "/pets/:pet", lookups),
        route("pet-sightings", "GET", "/pets/:pet/sightings", lookups),
        route("sightings-near", "GET", "/sightings/near/:place", lookups),
        route("sighting-search", "GET", "/sightings", lookups),
        route("chip", "GET", "/chips/:chip", lookups),
        route("photo-match", "POST", "/photo-matches", { ...lookups, idempotent: true, timeoutMs: 10_000 }),
        route("found-report", "POST", "/pets/:pet/found-reports", urgent),
        route("broadcast", "POST", "/broadcasts", {
            ...urgent,
            organisations: [nordicShelters, cityPatrol, vetsUnited, volunteers],
        }),
        route("broadcast-end", "DELETE", "/broadcasts/:broadcast", {
            ...urgent,
            organisations: [nordicShelters, cityPatrol, vetsUnited, volunteers],
        }),
        route("chip-transfer", "POST", "/chips/:chip/transfers", {
            ...urgent,
            timeoutMs: 5_000,
            organisations: [chipRegistry, vetsUnited, nordicShelters],
        }),
    ],
});
