/** Decodes the rows that the operator and the endpoints write to the store. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import type { ZoneId } from '@sesamegrade/core/types/ids';
import type { Result } from '@sesamegrade/core/types/result';

/** Why bytes could not be decoded. */
export interface DecodeFailure {
  readonly kind: 'malformed';
  /** Path of the field in the document and what was expected there. */
  readonly detail: string;
}

export abstract class DeploymentCodec {
  /** Key of the configuration among the operator's rows. */
  abstract readonly configurationKey: string;

  /**
   * Returns the zone that the existence of one of the operator's rows evacuates, whatever
   * the row's value is; undefined for other keys.
   */
  abstract evacuatedZone(key: string): ZoneId | undefined;

  /** Decodes the operator's configuration. */
  abstract decodeConfiguration(
    bytes: Uint8Array,
  ): Result<FleetConfiguration, DecodeFailure>;

  /** Decodes an endpoint's entry; `id` is the key of its row. */
  abstract decodeEndpoint(
    id: string,
    bytes: Uint8Array,
  ): Result<EndpointEntry, DecodeFailure>;
}
