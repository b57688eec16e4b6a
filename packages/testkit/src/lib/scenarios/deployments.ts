/** The two example deployments at their real sizes. */
import { checkFleetConfig, id } from "@sniperoad/core";
import type { KeyId } from "@sniperoad/core";
import { exampleKey, muscatAbrazo, pawtrace } from "@sniperoad/operator";
import type { Deployment } from "./fleet-simulation.js";

type Proposal = typeof pawtrace;

const createDeployment = (
    proposal: Proposal,
    rest: Pick<Deployment, "zones" | "zoneDelayMs" | "upstreams">,
): Deployment => {
    const checked = checkFleetConfig({ ...proposal, revision: 1, operations: ["scenario"] });
    if (checked.kind === "invalid") {
        throw new Error(`an example configuration is invalid: ${JSON.stringify(checked.problems)}`);
    }
    const keyIds = checked.value.organisations.flatMap(({ keys }) => keys.map(key => key.id));
    const secretOf = (keyId: KeyId) => exampleKey(keyId).slice(keyId.length + 1);
    return {
        ...rest,
        config: checked.value,
        instances: 44,
        secrets: Object.fromEntries(keyIds.map(keyId => [keyId, secretOf(id<KeyId>(keyId))])),
    };
};

/** PawTrace Alliance: three zones about 0.5 ms apart. */
export const pawtraceDeployment = createDeployment(pawtrace, {
    zones: ["eu-north-a", "eu-north-b", "eu-north-c"],
    zoneDelayMs: 0.5,
    upstreams: [
        { service: "sightings-svc", count: 30, serviceMs: 30 },
        { service: "alerts-svc", count: 6, serviceMs: 40 },
    ],
});

/** Muscat Abrazo Labs: four zones about 1 ms apart. */
export const abrazoDeployment = createDeployment(muscatAbrazo, {
    zones: ["oman-north-a", "oman-north-b", "oman-north-c", "oman-north-d"],
    zoneDelayMs: 1,
    upstreams: [
        { service: "match-svc", count: 30, serviceMs: 30 },
        { service: "studio-svc", count: 8, serviceMs: 40 },
    ],
});
