//! What bounds the work a daemon takes on: the waiting room, the retry
//! budget and the pace it predicts by.

mod class_line;
mod pace_meter;
mod retry_budget;
mod waiting_room;

pub use self::pace_meter::PaceMeter;
pub use self::retry_budget::RetryBudget;
pub use self::waiting_room::RoomRefusal;
pub use self::waiting_room::RoomTurn;
pub use self::waiting_room::WaitingRoom;
