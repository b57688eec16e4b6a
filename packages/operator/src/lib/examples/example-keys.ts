/** Keys of the example deployments. Their secrets are derived from their ids, so use them only in demonstrations. */
import type { KeyConfig } from "@sniperoad/core";
import { key } from "../keys.js";

/**
 * The key that an example caller sends.
 *
 * @example
 * exampleKey("nordic-shelters-1"); // "nordic-shelters-1.example-secret-of-nordic-shelters-1"
 */
export const exampleKey = (keyId: string): string => `${keyId}.${exampleSecret(keyId)}`;

/** The first key of an example organisation. */
export const exampleKeyConfig = (organisationName: string): KeyConfig =>
    key(`${organisationName}-1`, exampleSecret(`${organisationName}-1`));

const exampleSecret = (keyId: string): string => `example-secret-of-${keyId}`;
