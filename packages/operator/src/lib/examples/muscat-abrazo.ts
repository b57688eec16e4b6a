/** Muscat Abrazo Labs: dance partner matching and studio bookings. 44 instances in 4 zones of oman-north. */
import { fleet, organisation, route, service } from "../build.js";
import { exampleKeyConfig } from "./example-keys.js";

const exampleOrganisation = (name: string, ratePerSecond: number, burst?: number) =>
    organisation(name, { ratePerSecond, burst, keys: [exampleKeyConfig(name)] });

// 30 servers with 2 slots run about 2,000 matches/s at 30 ms each. The rates add up to 1,560/s, so that all
// organisations can use their full rates at the same time while a fifth of the servers is unavailable.
const gulfDance = exampleOrganisation("gulf-dance", 600);
const tangoGuild = exampleOrganisation("tango-guild", 450);
const hotelStudios = exampleOrganisation("hotel-studios", 250);
const salsaNights = exampleOrganisation("salsa-nights", 100, 150);
const universityClub = exampleOrganisation("university-club", 80, 120);
const weddingPlanners = exampleOrganisation("wedding-planners", 40, 80);
const festivalOffice = exampleOrganisation("festival-office", 30, 90);
const privateTeachers = exampleOrganisation("private-teachers", 10, 20);

/** 30 servers with 2 slots; the floor is 60 % of 60 slots. */
const matching = service("match-svc", { slotsPerUpstream: 2, floorSlots: 36 });
/** 8 servers with 2 slots; the floor is five of eight servers. */
const studios = service("studio-svc", { slotsPerUpstream: 2, floorSlots: 10 });

const lookups = { service: matching, timeoutMs: 3_000 };
/** Unnecessary refusals are most costly for this service, so requests may wait long for a slot. */
const changes = { service: studios, timeoutMs: 8_000 };

/** The configuration of Muscat Abrazo Labs. */
export const muscatAbrazo = fleet({
    seats: 44,
    organisations: [
        gulfDance,
        tangoGuild,
        hotelStudios,
        salsaNights,
        universityClub,
        weddingPlanners,
        festivalOffice,
        privateTeachers,
    ],
    services: [matching, studios],
    routes: [
        route("dancer", "GET", "/dancers/:dancer", lookups),
        route("matches", "GET", "/dancers/:dancer/matches", lookups),
        route("match-search", "POST", "/match-searches", { ...lookups, idempotent: true }),
        route("availability", "GET", "/studios/:studio/availability", lookups),
        route("studio-search", "GET", "/studios", lookups),
        route("reservation", "POST", "/studios/:studio/reservations", changes),
        route("reservation-end", "DELETE", "/studios/:studio/reservations/:reservation", changes),
        route("booking", "POST", "/bookings", changes),
        route("booking-change", "PATCH", "/bookings/:booking", changes),
        route("block-booking", "POST", "/studios/:studio/block-bookings", {
            ...changes,
            organisations: [hotelStudios, festivalOffice, weddingPlanners],
        }),
    ],
});
