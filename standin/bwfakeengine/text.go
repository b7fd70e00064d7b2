package bwfakeengine

// slovakText and amharicText contain the words that the engine generates. Many of
// their characters have two or three bytes in UTF-8, so that tokens split them.
const (
	slovakText = "lyžička drevená ručne vyrezávaná zo slivkového dreva s venovaním krstnému dieťaťu " +
		"želáme šťastie zdravie a ľúbivé spomienky na deň keď sa celá rodina stretla v Brezne " +
		"dielňa môže vyryť meno dátum aj kratší verš podľa želania zákazníka účet príde e-mailom "
	amharicText = "የባትሪ ማከማቻ ፈቃድ ማመልከቻ የእሳት ደህንነት ደንብን ያሟላል አመልካቹ የአየር ማስገቢያ ንድፍ አቅርቧል " +
		"ተቆጣጣሪው በቦሌ ቃሊቲ እና መርካቶ ያሉትን መጋዘኖች ጎብኝቷል ክፍያው ተፈጽሟል ውሳኔው በጽሑፍ ይላካል "
	corpus = slovakText + amharicText
)
