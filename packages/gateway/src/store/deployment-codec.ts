/** Decodes what the operator and the endpoints wrote to the store. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/serving-endpoint';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import type { Result } from '@sesamegrade/core/types/result';

/** Why bytes could not be decoded. */
export interface DecodeFailure {
  readonly kind: 'malformed';
  /** Place in the document and what was expected there. */
  readonly detail: string;
}

export abstract class DeploymentCodec {
  /** Key of the configuration among the operator's rows. */
  abstract readonly configurationKey: string;

  abstract decodeConfiguration(
    bytes: Uint8Array,
  ): Result<FleetConfiguration, DecodeFailure>;

  /** Decodes the entry of the endpoint with the given id. */
  abstract decodeEndpoint(
    id: string,
    bytes: Uint8Array,
  ): Result<EndpointEntry, DecodeFailure>;
}
