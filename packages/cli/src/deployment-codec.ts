/** The codec by which the running router reads a deployment's configuration. */
import type { DeploymentCodec } from '@sesamegrade/gateway/store/deployment-codec';
import { PlatformCodec } from '@sesamegrade/platform/platform-codec';

export function openDeploymentCodec(): DeploymentCodec {
  return new PlatformCodec();
}
