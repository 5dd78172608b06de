//! The `admin` module serves a stand-in's faults over HTTP, so that tests and scripts
//! can read and set them; see `docs/STANDINS.md`.

use aspenloft_transport::server;
use http_types::{Method, Request, Response};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Path at which a stand-in returns (`GET`) and sets (`POST`) its faults.
pub const FAULTS_PATH: &str = "/standin/faults";

/// Path at which a stand-in returns its records.
pub const RECORDS_PATH: &str = "/standin/records";

/// Maximum size of a `POST` of faults in bytes.
const MAX_FAULTS_BYTES: usize = 64 * 1024;

/// Handles a request at [`FAULTS_PATH`]. Fields omitted in a `POST` take their default,
/// which is always "no fault".
pub async fn serve_faults<F>(req: &mut Request, faults: &Mutex<F>) -> Response
where
    F: Serialize + DeserializeOwned + Clone,
{
    if req.method() == Method::Post {
        match server::read_json::<F>(req, MAX_FAULTS_BYTES).await {
            Ok(new) => *faults.lock() = new,
            Err(e) => return server::json_result(Err::<(), _>(e)),
        }
    }
    let current = faults.lock().clone();
    server::json(&current)
}
